package io.fescuehold.runtime.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaGroup;
import io.fescuehold.core.state.ShareStateMachine;
import reactor.core.publisher.Mono;

/**
 * An in-memory agreement group that applies each proposal to all replicas synchronously.
 */
public class FakeAgreement {

	final Map<String, ShareStateMachine> machines = new TreeMap<>();

	String leader;

	boolean hasQuorum = true;

	private final String share;

	private long index;

	/**
	 * Creates a group.
	 * @param share the share
	 */
	public FakeAgreement(String share) {
		this.share = share;
	}

	/**
	 * Sets the leader.
	 * @param hostId the host id of the leader, or null
	 */
	public void lead(String hostId) {
		this.leader = hostId;
	}

	/**
	 * Adds a replica.
	 * @param service the service that serves the replica
	 * @param hostId the host id
	 * @param onConfig receives each configuration that comes into force
	 */
	public void addTo(ControlService service, String hostId, Consumer<ShareConfig> onConfig) {
		ShareStateMachine machine = new ShareStateMachine(this.share, new MessagePackStateCodec(), onConfig);
		this.machines.put(hostId, machine);
		service.host(machine, new Replica(hostId), new MembershipOperations() {

			@Override
			public Mono<String> change(MembershipChange change) {
				return Mono.just(change.kind() + " done");
			}

			@Override
			public List<String> members() {
				return List.copyOf(FakeAgreement.this.machines.keySet());
			}

		});
	}

	private class Replica implements ReplicaGroup {

		private final String hostId;

		Replica(String hostId) {
			this.hostId = hostId;
		}

		@Override
		public Mono<byte[]> propose(byte[] command) {
			return readBarrier().then(Mono.fromSupplier(() -> {
				long next = ++FakeAgreement.this.index;
				byte[] outcome = null;
				for (ShareStateMachine machine : FakeAgreement.this.machines.values()) {
					outcome = machine.apply(next, command);
				}
				return outcome;
			}));
		}

		@Override
		public Mono<Void> readBarrier() {
			return Mono.defer(() -> {
				if (!this.hostId.equals(FakeAgreement.this.leader)) {
					return Mono.error(new FescueholdException(ErrorCode.NOT_LEADER, "unknown"));
				}
				return FakeAgreement.this.hasQuorum ? Mono.empty()
						: Mono.error(new FescueholdException(ErrorCode.NO_QUORUM, FakeAgreement.this.share));
			});
		}

		@Override
		public String leaderHostId() {
			return FakeAgreement.this.leader;
		}

	}

}
