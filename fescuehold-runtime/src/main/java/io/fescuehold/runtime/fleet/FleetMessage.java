package io.fescuehold.runtime.fleet;

import io.fescuehold.core.port.PeerMessage;

/**
 * Messages on the state of daemons.
 */
public sealed interface FleetMessage extends PeerMessage {

	/**
	 * Tells a daemon the state of the sender and asks for its own.
	 *
	 * @param draining whether the sender is draining
	 */
	record HostPing(boolean draining) implements FleetMessage {
	}

	/**
	 * Answers a {@link HostPing}.
	 *
	 * @param draining whether the sender is draining
	 */
	record HostState(boolean draining) implements FleetMessage {
	}

	/**
	 * Tells a router that the caller of a stream has come back through another router.
	 *
	 * @param serverId the model server that holds the stream
	 * @param streamId the stream
	 */
	record StreamTaken(String serverId, String streamId) implements FleetMessage {
	}

	/** Confirms a {@link StreamTaken}. */
	record StreamTakenNoted() implements FleetMessage {
	}

}
