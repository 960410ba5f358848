package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.fescuehold.core.port.PeerMessage;

/**
 * Messages on which servers other hosts reach.
 */
public sealed interface ReachMessage extends PeerMessage {

	/**
	 * Asks whether the receiver reaches servers. The reply is {@link Reached}.
	 *
	 * @param service the service of the servers
	 * @param serverIds the servers, a few at most
	 * @param maxAgeMs the age in milliseconds up to which a response of a server shows
	 * that it is reached; the receiver connects to servers without one
	 */
	record Ask(String service, List<String> serverIds, long maxAgeMs) implements ReachMessage {

		// A daemon of another version may leave out components.
		public Ask {
			serverIds = List.copyOf(Objects.requireNonNullElse(serverIds, List.of()));
		}

	}

	/**
	 * The reply to {@link Ask}.
	 *
	 * @param serverIds those of the servers that the replying host reaches
	 * @param passesOn whether it passes requests on for other hosts
	 * @param requestsInFlight the number of its requests in flight
	 */
	record Reached(Set<String> serverIds, boolean passesOn, int requestsInFlight) implements ReachMessage {

		// A daemon of another version may leave out components.
		public Reached {
			serverIds = Set.copyOf(Objects.requireNonNullElse(serverIds, Set.of()));
		}

	}

}
