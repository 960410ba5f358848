package io.fescuehold.runtime.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The configuration numbers in force at each daemon, as reported along the distribution
 * tree. Reports carry their age, so that the entry of a stopped daemon expires even if
 * its report circulates between roots.
 */
final class InForceTable {

	private static final int MS_PER_S = 1_000;

	private final long expiryMs;

	private final Map<String, Entry> entries = new HashMap<>();

	private long version;

	/**
	 * Creates an empty table.
	 * @param expiryMs the age in milliseconds above which a report expires
	 */
	InForceTable(long expiryMs) {
		this.expiryMs = expiryMs;
	}

	/**
	 * Records the numbers of one daemon.
	 * @param hostId the host id of the daemon
	 * @param numbers its numbers by share
	 * @param reportedAtMs the time of its report in milliseconds since the epoch
	 * @param viaHostId the host id of the daemon that forwarded the report
	 */
	synchronized void put(String hostId, Map<String, Long> numbers, long reportedAtMs, String viaHostId) {
		Entry known = this.entries.get(hostId);
		if (known != null && known.reportedAtMs() >= reportedAtMs) {
			return;
		}
		if (known == null || !known.numbers().equals(numbers)) {
			this.version++;
		}
		this.entries.put(hostId, new Entry(new TreeMap<>(numbers), reportedAtMs, viaHostId));
	}

	/**
	 * Records a report.
	 * @param groups the report
	 * @param ownHostId the host id of this daemon, whose entry is not taken from reports
	 * @param viaHostId the host id of the daemon that sent the report
	 * @param nowMs the time in milliseconds since the epoch
	 */
	synchronized void putAll(List<FeedMessage.InForce> groups, String ownHostId, String viaHostId, long nowMs) {
		for (FeedMessage.InForce group : groups) {
			group.a().forEach((hostId, ageS) -> {
				if (!hostId.equals(ownHostId)) {
					put(hostId, group.n(), nowMs - (long) ageS * MS_PER_S, viaHostId);
				}
			});
		}
	}

	/**
	 * Returns the daemons grouped by equal numbers.
	 * @param excludedViaHostId the host id of a daemon whose forwarded reports are left
	 * out, or null
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the groups
	 */
	synchronized List<FeedMessage.InForce> groups(String excludedViaHostId, long nowMs) {
		if (this.entries.values().removeIf((entry) -> nowMs - entry.reportedAtMs() > this.expiryMs)) {
			this.version++;
		}
		Map<SortedMap<String, Long>, Map<String, Integer>> agesByNumbers = new HashMap<>();
		this.entries.forEach((hostId, entry) -> {
			if (!entry.viaHostId().equals(excludedViaHostId)) {
				agesByNumbers.computeIfAbsent(entry.numbers(), (numbers) -> new TreeMap<>())
					.put(hostId, ageS(nowMs - entry.reportedAtMs()));
			}
		});
		List<FeedMessage.InForce> groups = new ArrayList<>();
		agesByNumbers.forEach((numbers, ages) -> groups.add(new FeedMessage.InForce(numbers, ages)));
		return groups;
	}

	// Rounded up, so that a report that circulates between roots never appears newer than
	// it is.
	private static int ageS(long ageMs) {
		return (int) Math.ceilDiv(Math.max(0, ageMs), (long) MS_PER_S);
	}

	/**
	 * Returns the version, which increases when the numbers of a daemon change and when
	 * reports expire.
	 * @return the version
	 */
	synchronized long version() {
		return this.version;
	}

	/**
	 * The report of one daemon.
	 *
	 * @param numbers the numbers by share
	 * @param reportedAtMs the time of the report in milliseconds since the epoch
	 * @param viaHostId the host id of the daemon that forwarded the report
	 */
	private record Entry(SortedMap<String, Long> numbers, long reportedAtMs, String viaHostId) {

	}

}
