package io.fescuehold.daemon.wiring;

import java.util.List;

import io.fescuehold.runtime.control.MembershipChange;
import io.fescuehold.runtime.control.MembershipOperations;
import io.fescuehold.runtime.replica.ReplicaRuntime;
import reactor.core.publisher.Mono;

/**
 * Changes the members of a group through the replica on this host, which must be the
 * leader.
 */
final class ReplicaMembership implements MembershipOperations {

	private final ReplicaRuntime replica;

	/**
	 * Creates the membership operations.
	 * @param replica the replica
	 */
	ReplicaMembership(ReplicaRuntime replica) {
		this.replica = replica;
	}

	@Override
	public Mono<String> change(MembershipChange change) {
		Mono<Void> done = switch (change.kind()) {
			case ADD -> this.replica.add(change.requestId(), change.hostId());
			case REMOVE -> this.replica.remove(change.requestId(), change.hostId());
			case REPLACE -> this.replica.replace(change.requestId(), change.replacedHostId(), change.hostId());
		};
		return done.then(Mono.fromSupplier(() -> "done; members are " + members()));
	}

	@Override
	public List<String> members() {
		return this.replica.status().members().stream().map(Object::toString).toList();
	}

}
