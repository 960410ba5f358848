package io.fescuehold.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Chooses the hosts to which a host passes messages on. The hosts form a ring in the
 * order of their ids, and each one sends to those whose distance is a power of two, so
 * that messages reach all of n hosts in at most log2(n) hops and by several paths.
 */
public final class RingNeighbours {

	/** In a small fleet every host sends to every other one. */
	private static final int FULL_MESH_HOSTS = 8;

	private RingNeighbours() {
	}

	/**
	 * Returns the neighbours of a host.
	 * @param hostIds the ids of all hosts
	 * @param hostId the id of the host, which need not be in the list
	 * @return the ids of the neighbours
	 */
	public static List<String> of(Collection<String> hostIds, String hostId) {
		TreeSet<String> sorted = new TreeSet<>(hostIds);
		sorted.add(hostId);
		List<String> ring = new ArrayList<>(sorted);
		int own = ring.indexOf(hostId);
		if (ring.size() <= FULL_MESH_HOSTS) {
			ring.remove(own);
			return ring;
		}
		List<String> neighbours = new ArrayList<>();
		for (int distance = 1; distance < ring.size(); distance *= 2) {
			neighbours.add(ring.get((own + distance) % ring.size()));
		}
		return neighbours;
	}

}
