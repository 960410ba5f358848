package io.fescuehold.runtime.discovery;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.servers.ServerList;

/**
 * Messages that synchronise the daemons of a discovered fleet.
 */
public sealed interface SyncMessage extends PeerMessage {

	/**
	 * Requests updates and reports the state of the sender. The reply is {@link News},
	 * which the leader delays for a short while if there are no updates.
	 *
	 * @param sender the sender
	 * @param number the number of the configuration that the sender holds
	 * @param serversRevision the revision of the server list that the sender holds
	 * @param hostsRevision the revision of the hosts that the sender holds
	 * @param requests the number of the sender's requests in flight, by server
	 * @param partsRead the prompt parts that servers have read for the sender since its
	 * last pull, by server
	 * @param evacuationsRevision the revision of the evacuations that the sender obeys,
	 * or null if it runs an earlier version
	 * @param memory the memory that the sender's requests in flight take at engines, in
	 * units by server, or null from a daemon of an earlier version
	 */
	record Pull(HostRecord sender, long number, long serversRevision, long hostsRevision, Map<String, Integer> requests,
			Map<String, Set<String>> partsRead, Long evacuationsRevision,
			Map<String, Integer> memory) implements SyncMessage {

		// A daemon of an earlier version sends no parts.
		public Pull {
			partsRead = Objects.requireNonNullElse(partsRead, Map.of());
		}

		Pull(HostRecord sender, long number, long serversRevision, long hostsRevision, Map<String, Integer> requests,
				Map<String, Set<String>> partsRead, Long evacuationsRevision) {
			this(sender, number, serversRevision, hostsRevision, requests, partsRead, evacuationsRevision, null);
		}

	}

	/**
	 * The reply to {@link Pull}.
	 *
	 * @param leaderHostId the leader known to the replying daemon, or null
	 * @param current whether the replying daemon was the leader after the pull had
	 * arrived, so that the other components are up to date
	 * @param document the configuration, see
	 * {@link io.fescuehold.core.routes.RoutingDocument}, or null if the sender of the
	 * pull holds it; from a daemon that is not the leader, a committed configuration that
	 * is newer than that of the sender of the pull
	 * @param servers the server list, or null if the sender of the pull holds it
	 * @param hostsRevision the revision of the hosts
	 * @param hosts the live daemons, or null if the sender of the pull holds them
	 * @param otherRequests the number of requests in flight from all other daemons, by
	 * server
	 * @param otherPartsRead the prompt parts that servers have read for the other daemons
	 * since the last pull of the sender, by server
	 * @param number the number of the newest configuration, or null if the replying
	 * daemon is not the leader or runs an earlier version
	 * @param evacuations the evacuations of failure domains, or null if the sender of the
	 * pull holds them or the replying daemon runs an earlier version; from a daemon that
	 * is not the leader, those that it obeys if they are newer
	 * @param otherMemory the memory that requests in flight from all other daemons take
	 * at engines, in units by server, without small values; null if the replying daemon
	 * is not the leader or runs an earlier version
	 */
	record News(String leaderHostId, boolean current, byte[] document, ServerList servers, long hostsRevision,
			List<HostRecord> hosts, Map<String, Integer> otherRequests, Map<String, Set<String>> otherPartsRead,
			Long number, Evacuations evacuations, Map<String, Integer> otherMemory) implements SyncMessage {

		// A daemon of an earlier version sends no parts.
		public News {
			otherPartsRead = Objects.requireNonNullElse(otherPartsRead, Map.of());
		}

		News(String leaderHostId, boolean current, byte[] document, ServerList servers, long hostsRevision,
				List<HostRecord> hosts, Map<String, Integer> otherRequests, Map<String, Set<String>> otherPartsRead,
				Long number, Evacuations evacuations) {
			this(leaderHostId, current, document, servers, hostsRevision, hosts, otherRequests, otherPartsRead, number,
					evacuations, null);
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
	 * Gives an order to evacuate a failure domain to the leader. The reply is
	 * {@link Evacuated}.
	 *
	 * @param command the order, see
	 * {@link io.fescuehold.core.routes.EvacuationCommand#encode()}
	 */
	record Evacuate(byte[] command) implements SyncMessage {
	}

	/**
	 * The reply to {@link Evacuate}.
	 *
	 * @param outcome the name of the {@link io.fescuehold.core.routes.SubmissionOutcome}
	 * @param evacuations the evacuations afterwards
	 */
	record Evacuated(String outcome, Evacuations evacuations) implements SyncMessage {
	}

	/**
	 * Requests the newest configuration from the leader. The reply is {@link Newest}.
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
	 * Instructs a host with an empty disk to form the agreement group with others. The
	 * reply is empty.
	 *
	 * @param hostIds the initial members of the group
	 */
	record Form(List<String> hostIds) implements SyncMessage {
	}

	/**
	 * Announces a new leader, so that no daemon has to search for it. There is no reply.
	 *
	 * @param hostId the leader
	 */
	record Leading(String hostId) implements SyncMessage {
	}

}
