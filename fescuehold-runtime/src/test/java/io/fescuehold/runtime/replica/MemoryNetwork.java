package io.fescuehold.runtime.replica;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import org.msgpack.jackson.dataformat.MessagePackMapper;
import reactor.core.publisher.Mono;

/**
 * In-memory transports that encode and decode each message as MessagePack, as the TCP
 * transport does.
 */
final class MemoryNetwork {

	private final ObjectMapper mapper = new MessagePackMapper();

	private final Map<String, MemoryTransport> transports = new ConcurrentHashMap<>();

	private final Set<String> isolatedHostIds = ConcurrentHashMap.newKeySet();

	PeerTransport transport(String hostId) {
		MemoryTransport transport = new MemoryTransport(hostId);
		this.transports.put(hostId, transport);
		return transport;
	}

	void isolate(String hostId) {
		this.isolatedHostIds.add(hostId);
	}

	void heal() {
		this.isolatedHostIds.clear();
	}

	private void deliver(String fromHostId, String toHostId, PeerMessage message) {
		MemoryTransport receiver = this.transports.get(toHostId);
		boolean reachable = receiver != null && !this.isolatedHostIds.contains(fromHostId)
				&& !this.isolatedHostIds.contains(toHostId);
		if (reachable) {
			receiver.receive(fromHostId, roundTrip(message));
		}
	}

	private PeerMessage roundTrip(PeerMessage message) {
		try {
			return this.mapper.readValue(this.mapper.writeValueAsBytes(message), message.getClass());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * The transport of one host.
	 */
	private final class MemoryTransport implements PeerTransport {

		private final String hostId;

		private final Map<Class<?>, PeerHandler<PeerMessage>> handlers = new ConcurrentHashMap<>();

		private MemoryTransport(String hostId) {
			this.hostId = hostId;
		}

		@Override
		public void send(String toHostId, PeerMessage message) {
			deliver(this.hostId, toHostId, message);
		}

		@Override
		public Mono<PeerMessage> request(String toHostId, PeerMessage message, Duration timeout) {
			return Mono.error(new IllegalStateException("Replicas send no requests"));
		}

		@Override
		@SuppressWarnings("unchecked")
		public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
			this.handlers.put(type, (PeerHandler<PeerMessage>) handler);
		}

		private void receive(String fromHostId, PeerMessage message) {
			this.handlers.get(message.getClass()).handle(fromHostId, message).subscribe();
		}

	}

}
