package io.fescuehold.runtime.fleet;

import io.fescuehold.core.port.PeerMessage;

/**
 * Messages between daemons about draining and resumed streams.
 */
public sealed interface FleetMessage extends PeerMessage {

	/**
	 * Reports the state of the sender and requests the state of the receiver.
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
	 * Notifies a router that the caller of a stream has resumed it through another
	 * router.
	 *
	 * @param serverId the model server that produces the stream
	 * @param streamId the id of the stream
	 */
	record StreamTaken(String serverId, String streamId) implements FleetMessage {
	}

	/** Confirms a {@link StreamTaken}. */
	record StreamTakenNoted() implements FleetMessage {
	}

}
