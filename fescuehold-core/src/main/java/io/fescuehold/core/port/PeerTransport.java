package io.fescuehold.core.port;

import java.time.Duration;

import reactor.core.publisher.Mono;

/**
 * Sends messages between daemons. Connections are opened on demand, checked with pings
 * and replaced when the peer stops responding.
 */
public interface PeerTransport {

	/**
	 * Sends a message without waiting. The message is dropped if the host cannot be
	 * reached; senders must repeat messages that need to arrive.
	 * @param hostId the host id of the receiver
	 * @param message the message
	 */
	void send(String hostId, PeerMessage message);

	/**
	 * Sends a message and waits for its reply.
	 * @param hostId the host id of the receiver
	 * @param message the message
	 * @param timeout the longest wait
	 * @return the reply, or an error if the host cannot be reached in time. The run
	 * status of the error is NO if the host cannot have received the message, and UNKNOWN
	 * if it may have. A {@link io.fescuehold.core.error.FescueholdException} raised by
	 * the handler arrives with its code
	 */
	Mono<PeerMessage> request(String hostId, PeerMessage message, Duration timeout);

	/**
	 * Registers the handler of a message type.
	 * @param type the type
	 * @param handler the handler
	 * @param <T> the type of the message
	 */
	<T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler);

}
