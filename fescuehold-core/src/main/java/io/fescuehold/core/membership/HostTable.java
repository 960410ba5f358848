package io.fescuehold.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The daemons that are known, with the time at which each was last heard of. The leader
 * hears from all daemons itself and passes its table on; the others take it over.
 */
public final class HostTable {

	private final long silenceMs;

	private final Map<String, Entry> entries = new HashMap<>();

	private long revision;

	/**
	 * Creates an empty table.
	 * @param silenceMs the silence in milliseconds after which a daemon counts as dead
	 */
	public HostTable(long silenceMs) {
		this.silenceMs = silenceMs;
	}

	/**
	 * Records that a daemon was heard of.
	 * @param host its description
	 * @param nowMs the time in milliseconds
	 */
	public void observe(HostRecord host, long nowMs) {
		Entry known = this.entries.get(host.hostId());
		if (known != null && known.host.incarnation() > host.incarnation()) {
			return;
		}
		if (known == null || !known.host.equals(host)) {
			this.revision++;
		}
		this.entries.put(host.hostId(), new Entry(host, nowMs));
	}

	/**
	 * Takes over the table of the leader.
	 * @param hosts the live daemons
	 * @param nowMs the time in milliseconds
	 */
	public void replaceAll(List<HostRecord> hosts, long nowMs) {
		this.entries.clear();
		hosts.forEach((host) -> this.entries.put(host.hostId(), new Entry(host, nowMs)));
		this.revision++;
	}

	/**
	 * Counts the silence of all daemons from now on. Called when this daemon begins to
	 * lead, because until then the daemons reported to another one.
	 * @param nowMs the time in milliseconds
	 */
	public void restartSilence(long nowMs) {
		this.entries.replaceAll((id, entry) -> new Entry(entry.host, nowMs));
	}

	/**
	 * Removes the daemons that were silent for too long.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		if (this.entries.values().removeIf((entry) -> nowMs - entry.heardMs >= this.silenceMs)) {
			this.revision++;
		}
	}

	/**
	 * Returns a number that grows with each change.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the daemons.
	 * @return the daemons by host id
	 */
	public List<HostRecord> hosts() {
		List<HostRecord> hosts = new ArrayList<>();
		this.entries.values().forEach((entry) -> hosts.add(entry.host));
		hosts.sort(Comparator.comparing(HostRecord::hostId));
		return hosts;
	}

	/**
	 * Finds a daemon.
	 * @param hostId the host id
	 * @return the daemon, or null
	 */
	public HostRecord find(String hostId) {
		Entry entry = this.entries.get(hostId);
		return (entry != null) ? entry.host : null;
	}

	private record Entry(HostRecord host, long heardMs) {

	}

}
