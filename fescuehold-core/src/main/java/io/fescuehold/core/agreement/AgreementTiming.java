package io.fescuehold.core.agreement;

/**
 * Timing parameters of an agreement group.
 *
 * @param heartbeatMs the interval in milliseconds between messages of an idle leader
 * @param electionTimeoutMs the time in milliseconds after which a follower without
 * contact to a leader may start an election; the actual time is up to twice as long
 * @param leaseMs the time in milliseconds for which a majority's acknowledgement lets a
 * leader serve reads and accept proposals, at most 80 % of the election timeout
 * @param snapshotEveryEntries the number of applied entries after which a snapshot is
 * taken
 */
public record AgreementTiming(long heartbeatMs, long electionTimeoutMs, long leaseMs, int snapshotEveryEntries) {

	// The rest of the election timeout is the margin for clock drift between hosts.
	private static final int MAX_LEASE_PERCENT = 80;

	private static final int PERCENT = 100;

	/**
	 * Checks the arguments.
	 */
	public AgreementTiming {
		if (heartbeatMs < 1 || heartbeatMs * 2 > electionTimeoutMs) {
			throw new IllegalArgumentException(
					"heartbeatMs is " + heartbeatMs + "; use 1 up to half of electionTimeoutMs " + electionTimeoutMs);
		}
		if (leaseMs < heartbeatMs || leaseMs * PERCENT > electionTimeoutMs * MAX_LEASE_PERCENT) {
			throw new IllegalArgumentException("leaseMs is " + leaseMs + "; use at least heartbeatMs " + heartbeatMs
					+ " and at most " + MAX_LEASE_PERCENT + " % of electionTimeoutMs " + electionTimeoutMs);
		}
		if (snapshotEveryEntries < 1) {
			throw new IllegalArgumentException("snapshotEveryEntries is " + snapshotEveryEntries + "; use at least 1");
		}
	}

}
