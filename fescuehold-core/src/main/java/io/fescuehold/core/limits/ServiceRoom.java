package io.fescuehold.core.limits;

import io.fescuehold.core.servers.ServerState;

/**
 * The places of a service's usable servers and the requests at them, as one host knows
 * them.
 *
 * @param slots the requests that the servers run concurrently
 * @param ownRequests the requests of this host
 * @param otherRequests the requests of all other hosts, or what is expected of them
 * @param hosts the number of hosts
 */
public record ServiceRoom(int slots, int ownRequests, int otherRequests, int hosts) {

	/**
	 * The room at a service.
	 * @param servers the servers that take requests
	 * @param hosts the number of hosts
	 * @param othersKnown whether the requests of the other hosts are known. If not, each
	 * of them is expected to have as many as this host.
	 * @return the room
	 */
	public static ServiceRoom of(Iterable<ServerState> servers, int hosts, boolean othersKnown) {
		int slots = 0;
		int own = 0;
		int all = 0;
		for (ServerState server : servers) {
			slots += server.server().slots();
			own += server.ownRequests();
			all += server.load();
		}
		int others = othersKnown ? all - own : own * (Math.max(1, hosts) - 1);
		return new ServiceRoom(slots, own, others, hosts);
	}

	/**
	 * Returns the requests at the servers.
	 * @return the number, including those that wait there
	 */
	public int load() {
		return this.ownRequests + this.otherRequests;
	}

	/**
	 * Returns the requests at the servers for each place.
	 * @return the ratio, above 1 while requests wait at the servers
	 */
	double pressure() {
		return (double) load() / this.slots;
	}

}
