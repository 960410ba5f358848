package io.fescuehold.core.limits;

import java.util.SplittableRandom;

/**
 * Chooses retry times so that refused requests return at the rate at which they can be
 * served instead of all at once.
 */
public final class RetryAfterSpread {

	/** The shortest retry time given. */
	public static final long MIN_MS = 500;

	/** The longest retry time given. */
	public static final long MAX_MS = 60_000;

	private static final long MS_PER_S = 1_000;

	private static final double MIN_RATE = 0.001;

	private final SplittableRandom random;

	/**
	 * Creates a spread.
	 * @param seed the seed of the jitter
	 */
	public RetryAfterSpread(long seed) {
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Returns a retry time. It is spread evenly from half to one and a half times the
	 * time that draining the backlog takes.
	 * @param backlog the work ahead, refused work included
	 * @param drainPerS the work served per second
	 * @return the time in milliseconds
	 */
	public long retryAfterMs(double backlog, double drainPerS) {
		double drainMs = Math.min(MAX_MS, MS_PER_S * Math.max(0, backlog) / Math.max(MIN_RATE, drainPerS));
		double spreadMs = Math.max(MIN_MS, drainMs);
		return Math.clamp((long) (drainMs / 2 + this.random.nextDouble() * spreadMs), MIN_MS, MAX_MS + MAX_MS / 2);
	}

}
