package io.fescuehold.bench.agreement;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import reactor.core.publisher.Mono;

/**
 * In-process transports that deliver messages without serialising them.
 */
final class LocalTransports {

	private final Map<String, LocalTransport> transports = new ConcurrentHashMap<>();

	PeerTransport create(String hostId) {
		LocalTransport transport = new LocalTransport(hostId);
		this.transports.put(hostId, transport);
		return transport;
	}

	/**
	 * The transport of one host.
	 */
	private final class LocalTransport implements PeerTransport {

		private final String hostId;

		private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();

		private LocalTransport(String hostId) {
			this.hostId = hostId;
		}

		@Override
		public void send(String toHostId, PeerMessage message) {
			LocalTransport receiver = LocalTransports.this.transports.get(toHostId);
			if (receiver != null) {
				receiver.handlers.get(message.getClass()).handle(this.hostId, message).subscribe();
			}
		}

		@Override
		public Mono<PeerMessage> request(String toHostId, PeerMessage message, Duration timeout) {
			return Mono.error(new IllegalStateException("Requests are not supported; replicas only send messages"));
		}

		@Override
		@SuppressWarnings("unchecked")
		public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
			this.handlers.put(type, (PeerHandler<PeerMessage>) handler);
		}

	}

}
