package io.fescuehold.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import io.fescuehold.core.placement.RendezvousHash;

/**
 * Assigns the polling of each server to two routers by rendezvous hash, so that the loss
 * of one router leaves no server without reports.
 */
public final class PollAssignment {

	private PollAssignment() {
	}

	/**
	 * Returns the servers that a router polls.
	 * @param routerId the host id of the router
	 * @param routerIds the host ids of all routers
	 * @param serverIds the servers
	 * @return the server ids, in the order given
	 */
	public static List<String> serversOf(String routerId, Collection<String> routerIds, Collection<String> serverIds) {
		long ownHash = RendezvousHash.hash(routerId);
		long[] others = routerIds.stream()
			.filter((id) -> !id.equals(routerId))
			.mapToLong(RendezvousHash::hash)
			.toArray();
		List<String> assigned = new ArrayList<>();
		for (String serverId : serverIds) {
			if (isAssigned(RendezvousHash.hash(serverId), ownHash, others)) {
				assigned.add(serverId);
			}
		}
		return assigned;
	}

	/**
	 * Tells whether a router is the primary one of the two that poll a server, for work
	 * that one router does alone.
	 * @param routerId the host id of the router
	 * @param routerIds the host ids of all routers
	 * @param serverId the server
	 * @return whether the router is the primary poller
	 */
	public static boolean isPrimaryPoller(String routerId, Collection<String> routerIds, String serverId) {
		long serverHash = RendezvousHash.hash(serverId);
		long own = RendezvousHash.combine(serverHash, RendezvousHash.hash(routerId));
		return routerIds.stream()
			.filter((id) -> !id.equals(routerId))
			.noneMatch((id) -> RendezvousHash.combine(serverHash, RendezvousHash.hash(id)) < own);
	}

	private static boolean isAssigned(long serverHash, long ownHash, long[] others) {
		long own = RendezvousHash.combine(serverHash, ownHash);
		int ahead = 0;
		for (long other : others) {
			if (RendezvousHash.combine(serverHash, other) < own && ++ahead > 1) {
				return false;
			}
		}
		return true;
	}

}
