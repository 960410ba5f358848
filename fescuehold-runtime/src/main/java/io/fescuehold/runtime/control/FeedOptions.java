package io.fescuehold.runtime.control;

/**
 * The times of a {@link ConfigFeed}.
 *
 * @param holdMs how long an upstream holds a fetch that has no news, in milliseconds
 * @param secondHoldMs the same for the fetches from changing candidates
 * @param silenceMs the silence in milliseconds after which another candidate is used
 * @param reportMs the time in milliseconds after which an unchanged report of numbers in
 * force is sent again
 * @param expiryMs the age in milliseconds at which a report no longer counts
 */
public record FeedOptions(int holdMs, int secondHoldMs, int silenceMs, int reportMs, int expiryMs) {

	/** The times of a daemon. */
	public static final FeedOptions DEFAULT = new FeedOptions(2_000, 1_000, 3_000, 10_000, 30_000);

}
