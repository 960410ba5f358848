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
 * Transports that deliver messages in memory after writing and reading them as
 * MessagePack, as the TCP transport does.
 */
final class MemoryNetwork {

	private final ObjectMapper mapper = new MessagePackMapper();

	private final Map<String, MemoryTransport> transports = new ConcurrentHashMap<>();

	private final Set<String> cutOff = ConcurrentHashMap.newKeySet();

	PeerTransport transport(String hostId) {
		MemoryTransport transport = new MemoryTransport(hostId);
		this.transports.put(hostId, transport);
		return transport;
	}

	void cutOff(String hostId) {
		this.cutOff.add(hostId);
	}

	void heal() {
		this.cutOff.clear();
	}

	private void deliver(String fromHostId, String toHostId, PeerMessage message) {
		MemoryTransport receiver = this.transports.get(toHostId);
		boolean reachable = receiver != null && !this.cutOff.contains(fromHostId) && !this.cutOff.contains(toHostId);
		if (reachable) {
			receiver.receive(fromHostId, copy(message));
		}
	}

	private PeerMessage copy(PeerMessage message) {
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
