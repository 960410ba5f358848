package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Objects;

import io.fescuehold.core.limits.RequestLimitUpdate;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.quarantine.CrashEvidence;

/**
 * Messages that daemons pass on to each other without the leader.
 */
public sealed interface GossipMessage extends PeerMessage {

	/**
	 * Evidence that the receiver may not have. The reply is {@link Received}.
	 *
	 * @param quarantine the evidence on crashing prompt parts
	 * @param limits the limits that servers named
	 */
	record Evidence(CrashEvidence quarantine, List<RequestLimitUpdate> limits) implements GossipMessage {

		// A daemon of another version may send no evidence.
		public Evidence {
			quarantine = Objects.requireNonNullElse(quarantine, CrashEvidence.NONE);
			limits = List.copyOf(Objects.requireNonNullElse(limits, List.of()));
		}

	}

	/**
	 * Requests all evidence after a start. The reply is {@link Evidence}.
	 */
	record Request() implements GossipMessage {
	}

	/**
	 * Confirms that the evidence has arrived.
	 */
	record Received() implements GossipMessage {
	}

}
