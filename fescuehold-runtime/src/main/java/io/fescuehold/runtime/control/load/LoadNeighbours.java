package io.fescuehold.runtime.control.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.relay.RelayHost;
import io.fescuehold.core.relay.RelayTree;

/**
 * The hosts with which this host exchanges load samples: its upstream host in the relay
 * tree, the hosts that have sent it messages recently, as its downstream hosts do, and,
 * for a root, the other roots. An upstream host that stays silent is replaced by the next
 * candidate.
 */
public final class LoadNeighbours {

	private static final long SILENCE_TIMEOUT_MS = 3_000;

	private final String hostId;

	private final Map<String, Long> lastMessageAtMs = new HashMap<>();

	private List<RelayHost> hosts = List.of();

	private RelayTree tree = new RelayTree(List.of());

	private String upstream;

	private long upstreamSinceMs;

	/**
	 * Creates the neighbours of a host.
	 * @param hostId the id of the host
	 */
	public LoadNeighbours(String hostId) {
		this.hostId = hostId;
	}

	/**
	 * Replaces the host list and rebuilds the relay tree if the list has changed.
	 * @param newHosts the hosts, including this host
	 */
	public void update(Collection<RelayHost> newHosts) {
		if (!this.hosts.equals(List.copyOf(newHosts))) {
			this.hosts = List.copyOf(newHosts);
			this.tree = new RelayTree(this.hosts, RelayTree.LOAD_FAN_OUT);
			this.upstream = null;
		}
	}

	/**
	 * Records that a message from a host has arrived.
	 * @param fromHostId the id of the host
	 * @param nowMs the time in milliseconds
	 */
	public void heard(String fromHostId, long nowMs) {
		this.lastMessageAtMs.put(fromHostId, nowMs);
	}

	/**
	 * Returns the hosts to send samples to.
	 * @param nowMs the time in milliseconds
	 * @return the host ids
	 */
	public Collection<String> current(long nowMs) {
		this.lastMessageAtMs.values().removeIf((messageAtMs) -> nowMs - messageAtMs > SILENCE_TIMEOUT_MS);
		Set<String> neighbours = new LinkedHashSet<>();
		List<String> candidates = this.tree.upstream(this.hostId);
		if (candidates.isEmpty()) {
			neighbours.addAll(this.tree.roots());
		}
		else {
			neighbours.add(chooseUpstream(candidates, nowMs));
		}
		neighbours.addAll(this.lastMessageAtMs.keySet());
		neighbours.remove(this.hostId);
		return new ArrayList<>(neighbours);
	}

	private String chooseUpstream(List<String> candidates, long nowMs) {
		int index = candidates.indexOf(this.upstream);
		if (index < 0) {
			return selectUpstream(candidates.getFirst(), nowMs);
		}
		boolean isSilent = !this.lastMessageAtMs.containsKey(this.upstream)
				&& nowMs - this.upstreamSinceMs > SILENCE_TIMEOUT_MS;
		return isSilent ? selectUpstream(candidates.get((index + 1) % candidates.size()), nowMs) : this.upstream;
	}

	private String selectUpstream(String candidate, long nowMs) {
		this.upstream = candidate;
		this.upstreamSinceMs = nowMs;
		return candidate;
	}

}
