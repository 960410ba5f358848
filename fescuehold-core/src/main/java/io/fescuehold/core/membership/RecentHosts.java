package io.fescuehold.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The daemons that the newest list names and those that have left it lately. Parts of a
 * fleet-wide number that are divided among all of them do not grow when daemons vanish,
 * whether they have ended or are only cut off. Not thread-safe.
 */
public final class RecentHosts {

	private final long retentionMs;

	private final Map<String, Long> leftAtMs = new HashMap<>();

	private List<HostRecord> listed = List.of();

	private Set<String> ids = Set.of();

	/**
	 * Creates an instance without daemons.
	 * @param retentionMs for how long a daemon counts after it has left the list, in
	 * milliseconds
	 */
	public RecentHosts(long retentionMs) {
		this.retentionMs = retentionMs;
	}

	/**
	 * Takes over a list and drops the daemons that left it too long ago.
	 * @param hosts the daemons that the newest list names, in any state
	 * @param nowMs the time in milliseconds
	 * @return whether the ids have changed
	 */
	public boolean observe(List<HostRecord> hosts, long nowMs) {
		boolean changed = this.leftAtMs.values().removeIf((leftMs) -> nowMs - leftMs > this.retentionMs);
		if (hosts != this.listed) {
			replace(hosts, nowMs);
			changed = true;
		}
		if (!changed) {
			return false;
		}
		Set<String> recent = new HashSet<>(this.leftAtMs.keySet());
		this.listed.forEach((host) -> recent.add(host.hostId()));
		boolean different = !recent.equals(this.ids);
		this.ids = recent;
		return different;
	}

	private void replace(List<HostRecord> hosts, long nowMs) {
		Set<String> present = new HashSet<>();
		hosts.forEach((host) -> present.add(host.hostId()));
		for (HostRecord host : this.listed) {
			if (!present.contains(host.hostId())) {
				this.leftAtMs.put(host.hostId(), nowMs);
			}
		}
		this.leftAtMs.keySet().removeAll(present);
		this.listed = hosts;
	}

	/**
	 * Returns the ids of the daemons.
	 * @return the ids of the listed daemons and of those that have left lately
	 */
	public Set<String> ids() {
		return this.ids;
	}

}
