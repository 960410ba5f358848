package io.fescuehold.daemon.settings;

/**
 * Timing of the agreement groups.
 *
 * @param heartbeatMs the interval of the leader's heartbeats in milliseconds, default 300
 * @param electionTimeoutMs the time in milliseconds without a heartbeat after which a
 * replica starts an election, default 1,000
 * @param leaseMs the time in milliseconds for which a leader may serve after it last
 * heard from a majority, default 700
 * @param snapshotEveryEntries the number of log entries between snapshots, default 2,000
 */
public record TimingSettings(Integer heartbeatMs, Integer electionTimeoutMs, Integer leaseMs,
		Integer snapshotEveryEntries) {

	/** The default timing. */
	public static final TimingSettings DEFAULT = new TimingSettings(null, null, null, null);

	private static final int DEFAULT_HEARTBEAT_MS = 300;

	private static final int DEFAULT_ELECTION_TIMEOUT_MS = 1_000;

	private static final int DEFAULT_LEASE_MS = 700;

	private static final int DEFAULT_SNAPSHOT_EVERY_ENTRIES = 2_000;

	private static final int MAX_MS = 60_000;

	private static final int MIN_HEARTBEATS_PER_ELECTION_TIMEOUT = 3;

	private static final double MAX_LEASE_PER_ELECTION_TIMEOUT = 0.8;

	private static final int MAX_SNAPSHOT_EVERY_ENTRIES = 1_000_000;

	public TimingSettings {
		heartbeatMs = (heartbeatMs != null) ? heartbeatMs : DEFAULT_HEARTBEAT_MS;
		electionTimeoutMs = (electionTimeoutMs != null) ? electionTimeoutMs : DEFAULT_ELECTION_TIMEOUT_MS;
		leaseMs = (leaseMs != null) ? leaseMs : DEFAULT_LEASE_MS;
		snapshotEveryEntries = (snapshotEveryEntries != null) ? snapshotEveryEntries : DEFAULT_SNAPSHOT_EVERY_ENTRIES;
		SettingsChecks.inRange("heartbeatMs", heartbeatMs, 1, MAX_MS);
		SettingsChecks.inRange("electionTimeoutMs", electionTimeoutMs,
				heartbeatMs * MIN_HEARTBEATS_PER_ELECTION_TIMEOUT, MAX_MS);
		// The gap between lease and election timeout covers clock drift between hosts.
		SettingsChecks.inRange("leaseMs", leaseMs, 1, (long) (electionTimeoutMs * MAX_LEASE_PER_ELECTION_TIMEOUT));
		SettingsChecks.inRange("snapshotEveryEntries", snapshotEveryEntries, 1, MAX_SNAPSHOT_EVERY_ENTRIES);
	}

}
