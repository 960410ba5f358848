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
 * The hosts with which this host exchanges load samples: its place in the relay tree
 * above, the hosts that have chosen it and, between roots, the other roots. A host above
 * that is silent is replaced by the next candidate.
 */
public final class LoadNeighbours {

	private static final long SILENCE_MS = 3_000;

	private final String hostId;

	private final Map<String, Long> heardAtMs = new HashMap<>();

	private List<RelayHost> hosts = List.of();

	private RelayTree tree = new RelayTree(List.of());

	private String upstream;

	private long upstreamSinceMs;

	/**
	 * Creates neighbours for a host.
	 * @param hostId the host
	 */
	public LoadNeighbours(String hostId) {
		this.hostId = hostId;
	}

	/**
	 * Takes over the list of hosts.
	 * @param newHosts the hosts, this host included
	 */
	public void update(Collection<RelayHost> newHosts) {
		if (!this.hosts.equals(List.copyOf(newHosts))) {
			this.hosts = List.copyOf(newHosts);
			this.tree = new RelayTree(this.hosts, RelayTree.LOAD_FAN_OUT);
			this.upstream = null;
		}
	}

	/**
	 * Notes that a host sent a message.
	 * @param fromHostId the host
	 * @param nowMs the time in milliseconds
	 */
	public void heard(String fromHostId, long nowMs) {
		this.heardAtMs.put(fromHostId, nowMs);
	}

	/**
	 * Returns the hosts to send to.
	 * @param nowMs the time in milliseconds
	 * @return the host ids
	 */
	public Collection<String> current(long nowMs) {
		this.heardAtMs.values().removeIf((heard) -> nowMs - heard > SILENCE_MS);
		Set<String> neighbours = new LinkedHashSet<>();
		List<String> candidates = this.tree.upstream(this.hostId);
		if (candidates.isEmpty()) {
			neighbours.addAll(this.tree.roots());
		}
		else {
			neighbours.add(chooseUpstream(candidates, nowMs));
		}
		neighbours.addAll(this.heardAtMs.keySet());
		neighbours.remove(this.hostId);
		return new ArrayList<>(neighbours);
	}

	private String chooseUpstream(List<String> candidates, long nowMs) {
		int index = candidates.indexOf(this.upstream);
		if (index < 0) {
			return choose(candidates.getFirst(), nowMs);
		}
		boolean isSilent = !this.heardAtMs.containsKey(this.upstream) && nowMs - this.upstreamSinceMs > SILENCE_MS;
		return isSilent ? choose(candidates.get((index + 1) % candidates.size()), nowMs) : this.upstream;
	}

	private String choose(String candidate, long nowMs) {
		this.upstream = candidate;
		this.upstreamSinceMs = nowMs;
		return candidate;
	}

}
