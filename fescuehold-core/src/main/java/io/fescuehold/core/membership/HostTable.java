package io.fescuehold.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The known daemons with the time of the last report from each. All daemons report to the
 * leader, which distributes its table; the other daemons replace theirs with it.
 */
public final class HostTable {

	private final long reportTimeoutMs;

	private final Map<String, Entry> entries = new HashMap<>();

	private long revision;

	/**
	 * Creates an empty table.
	 * @param reportTimeoutMs the time in milliseconds without a report after which a
	 * daemon counts as dead
	 */
	public HostTable(long reportTimeoutMs) {
		this.reportTimeoutMs = reportTimeoutMs;
	}

	/**
	 * Records a report from a daemon. A report from an earlier start of the daemon is
	 * ignored.
	 * @param host the description of the daemon
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
	 * Replaces the content with the table of the leader.
	 * @param hosts the live daemons
	 * @param nowMs the time in milliseconds
	 */
	public void replaceAll(List<HostRecord> hosts, long nowMs) {
		this.entries.clear();
		hosts.forEach((host) -> this.entries.put(host.hostId(), new Entry(host, nowMs)));
		this.revision++;
	}

	/**
	 * Restarts the report timeouts of all daemons. Called when this daemon becomes the
	 * leader, because the daemons reported to another leader until then.
	 * @param nowMs the time in milliseconds
	 */
	public void restartReportTimeouts(long nowMs) {
		this.entries.replaceAll((id, entry) -> new Entry(entry.host, nowMs));
	}

	/**
	 * Removes the daemons whose report timeout has expired.
	 * @param nowMs the time in milliseconds
	 */
	public void expire(long nowMs) {
		if (this.entries.values().removeIf((entry) -> nowMs - entry.lastReportAtMs >= this.reportTimeoutMs)) {
			this.revision++;
		}
	}

	/**
	 * Returns a number that increases with each change.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the daemons.
	 * @return the daemons, sorted by host id
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

	private record Entry(HostRecord host, long lastReportAtMs) {

	}

}
