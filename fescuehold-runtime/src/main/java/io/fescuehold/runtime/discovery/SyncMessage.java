package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.servers.ServerList;

/**
 * Messages by which the daemons of a discovered fleet keep each other up to date.
 */
public sealed interface SyncMessage extends PeerMessage {

	/**
	 * Asks for news and reports what the sender holds. The reply is {@link News}, which
	 * the leader delays for a short while if there are none.
	 *
	 * @param sender the sender
	 * @param number the number of the configuration that the sender holds
	 * @param serversRevision the revision of the server list that the sender holds
	 * @param hostsRevision the revision of the hosts that the sender holds
	 * @param requests the requests that the sender holds by server
	 * @param partsRead the prompt parts that servers have read for the sender since its
	 * last question, by server
	 */
	record Pull(HostRecord sender, long number, long serversRevision, long hostsRevision, Map<String, Integer> requests,
			Map<String, Set<String>> partsRead) implements SyncMessage {

		// A daemon of an earlier version sends no parts.
		public Pull {
			partsRead = Objects.requireNonNullElse(partsRead, Map.of());
		}

	}

	/**
	 * The reply to {@link Pull}.
	 *
	 * @param leaderHostId the leader as far as the replying daemon knows, or null
	 * @param current whether the replying daemon led after the question had arrived, so
	 * that the rest is the newest there is
	 * @param document the configuration, see
	 * {@link io.fescuehold.core.routes.RoutingDocument}, or null if the asker holds it
	 * @param servers the server list, or null if the asker holds it
	 * @param hostsRevision the revision of the hosts
	 * @param hosts the live daemons, or null if the asker holds them
	 * @param otherRequests the requests of all daemons but the asker by server
	 * @param otherPartsRead the prompt parts that servers have read for the other daemons
	 * since the asker's last question, by server
	 */
	record News(String leaderHostId, boolean current, byte[] document, ServerList servers, long hostsRevision,
			List<HostRecord> hosts, Map<String, Integer> otherRequests,
			Map<String, Set<String>> otherPartsRead) implements SyncMessage {

		// A daemon of an earlier version sends no parts.
		public News {
			otherPartsRead = Objects.requireNonNullElse(otherPartsRead, Map.of());
		}

	}

	/**
	 * Submits a configuration to the leader. The reply is {@link Submitted}.
	 *
	 * @param document the configuration
	 */
	record Submit(byte[] document) implements SyncMessage {
	}

	/**
	 * The reply to {@link Submit}.
	 *
	 * @param outcome the name of the {@link io.fescuehold.core.routes.SubmissionOutcome}
	 */
	record Submitted(String outcome) implements SyncMessage {
	}

	/**
	 * Asks the leader for the newest configuration. The reply is {@link Newest}.
	 */
	record ReadNewest() implements SyncMessage {
	}

	/**
	 * The reply to {@link ReadNewest}.
	 *
	 * @param document the configuration
	 */
	record Newest(byte[] document) implements SyncMessage {
	}

	/**
	 * Asks a host with an empty disk to form the group with others. The reply is empty.
	 *
	 * @param hostIds the hosts that form the group
	 */
	record Form(List<String> hostIds) implements SyncMessage {
	}

	/**
	 * Announces a new leader, so that no daemon has to search for it. Not answered.
	 *
	 * @param hostId the leader
	 */
	record Leading(String hostId) implements SyncMessage {
	}

}
