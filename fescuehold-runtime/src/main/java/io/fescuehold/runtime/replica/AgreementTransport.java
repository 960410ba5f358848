package io.fescuehold.runtime.replica;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.fescuehold.core.agreement.AgreementMessage;
import io.fescuehold.core.port.PeerTransport;
import reactor.core.publisher.Mono;

/**
 * Sends the messages of all agreement groups of a process over one transport and
 * dispatches received messages by group.
 */
public final class AgreementTransport {

	private final PeerTransport transport;

	private final Map<String, Consumer<AgreementMessage>> receivers = new ConcurrentHashMap<>();

	/**
	 * Registers the message types with a transport. Created once per process.
	 * @param transport the transport
	 */
	public AgreementTransport(PeerTransport transport) {
		this.transport = transport;
		register(AgreementMessage.PreVoteRequest.class);
		register(AgreementMessage.PreVoteReply.class);
		register(AgreementMessage.VoteRequest.class);
		register(AgreementMessage.VoteReply.class);
		register(AgreementMessage.AppendRequest.class);
		register(AgreementMessage.AppendReply.class);
		register(AgreementMessage.SnapshotChunk.class);
		register(AgreementMessage.SnapshotReply.class);
		register(AgreementMessage.Handover.class);
		register(AgreementMessage.Probe.class);
		register(AgreementMessage.ProbeReply.class);
	}

	void send(String hostId, AgreementMessage message) {
		this.transport.send(hostId, message);
	}

	void addReceiver(String group, Consumer<AgreementMessage> receiver) {
		if (this.receivers.putIfAbsent(group, receiver) != null) {
			throw new IllegalStateException("Group \"" + group + "\" already has a replica in this process");
		}
	}

	void removeReceiver(String group) {
		this.receivers.remove(group);
	}

	private <T extends AgreementMessage> void register(Class<T> type) {
		this.transport.onMessage(type, (fromHostId, message) -> {
			dispatch(fromHostId, message);
			return Mono.empty();
		});
	}

	private void dispatch(String fromHostId, AgreementMessage message) {
		Consumer<AgreementMessage> receiver = this.receivers.get(message.group());
		if (receiver != null && fromHostId.equals(message.from().hostId())) {
			receiver.accept(message);
		}
	}

}
