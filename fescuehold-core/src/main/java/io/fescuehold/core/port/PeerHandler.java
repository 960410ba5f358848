package io.fescuehold.core.port;

import reactor.core.publisher.Mono;

/**
 * Handles one type of message from another daemon.
 *
 * @param <T> the type of the message
 */
@FunctionalInterface
public interface PeerHandler<T extends PeerMessage> {

	/**
	 * Handles a message.
	 * @param fromHostId the host id of the sender
	 * @param message the message
	 * @return the reply, or empty if the message has none
	 */
	Mono<? extends PeerMessage> handle(String fromHostId, T message);

}
