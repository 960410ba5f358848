package io.fescuehold.runtime.control;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.runtime.transport.MessagePack;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Connects the daemons of a test. Messages are encoded and decoded as on the wire.
 */
public class InMemoryNetwork {

	final Set<String> refusingHosts = new HashSet<>();

	final Set<String> silentHosts = new HashSet<>();

	final Set<String> replyLosingHosts = new HashSet<>();

	final Set<String> cutOffHosts = new HashSet<>();

	private final ObjectMapper mapper = MessagePack.mapper();

	private final Map<String, Node> nodes = new ConcurrentHashMap<>();

	private final Scheduler scheduler;

	/**
	 * Creates a network.
	 * @param scheduler runs time-outs
	 */
	public InMemoryNetwork(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Returns the transport of a daemon.
	 * @param hostId the host id of the daemon
	 * @return the transport
	 */
	public Node node(String hostId) {
		return this.nodes.computeIfAbsent(hostId, Node::new);
	}

	private PeerMessage copy(PeerMessage message) {
		try {
			return this.mapper.readValue(this.mapper.writeValueAsBytes(message), message.getClass());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** The transport of one daemon. */
	public class Node implements PeerTransport {

		private final String hostId;

		private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();

		Node(String hostId) {
			this.hostId = hostId;
		}

		@Override
		public void send(String toHostId, PeerMessage message) {
			request(toHostId, message, Duration.ofSeconds(1)).subscribe();
		}

		@Override
		public Mono<PeerMessage> request(String toHostId, PeerMessage message, Duration timeout) {
			return Mono.defer(() -> deliver(toHostId, message))
				.timeout(timeout, Mono.error(() -> error(ErrorCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN)),
						InMemoryNetwork.this.scheduler);
		}

		private Mono<PeerMessage> deliver(String toHostId, PeerMessage message) {
			Node target = InMemoryNetwork.this.nodes.get(toHostId);
			boolean isUnreachable = InMemoryNetwork.this.refusingHosts.contains(toHostId)
					|| InMemoryNetwork.this.cutOffHosts.contains(this.hostId);
			if (target == null || isUnreachable) {
				return Mono.error(error(ErrorCode.NO_SERVER, RunStatus.NO));
			}
			if (InMemoryNetwork.this.silentHosts.contains(toHostId)) {
				return Mono.never();
			}
			Mono<PeerMessage> reply = target.handlers.get(message.getClass())
				.handle(this.hostId, copy(message))
				.flatMap((answer) -> InMemoryNetwork.this.silentHosts.contains(toHostId) ? Mono.never()
						: Mono.just(copy(answer)));
			return InMemoryNetwork.this.replyLosingHosts.contains(toHostId)
					? reply.then(Mono.error(error(ErrorCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN))) : reply;
		}

		private static FescueholdException error(ErrorCode code, RunStatus run) {
			return FescueholdException.withMessage(code, run, 0, "test network");
		}

		@Override
		@SuppressWarnings("unchecked")
		public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
			this.handlers.put(type, (PeerHandler<PeerMessage>) handler);
		}

	}

}
