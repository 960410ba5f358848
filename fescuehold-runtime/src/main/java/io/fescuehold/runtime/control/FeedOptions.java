package io.fescuehold.runtime.control;

/**
 * The intervals and time-outs of a {@link ConfigFeed}.
 *
 * @param holdMs how long an upstream holds a fetch while it has no newer configuration,
 * in milliseconds
 * @param secondaryHoldMs the same for fetches from the secondary source
 * @param requestTimeoutMs the time-out of a request in milliseconds; when a fetch from
 * the upstream exceeds it, the next candidate is used
 * @param reportIntervalMs the interval in milliseconds at which an unchanged report of
 * numbers in force is sent again
 * @param reportExpiryMs the age in milliseconds above which a report expires
 */
public record FeedOptions(int holdMs, int secondaryHoldMs, int requestTimeoutMs, int reportIntervalMs,
		int reportExpiryMs) {

	/** The values used by a daemon. */
	public static final FeedOptions DEFAULT = new FeedOptions(2_000, 1_000, 3_000, 10_000, 30_000);

}
