package io.fescuehold.core.limits;

import java.util.SplittableRandom;

/**
 * Computes retry times so that refused requests return at the rate at which they can be
 * served instead of all at once.
 */
public final class RetryAfterCalculator {

	/** The shortest retry time in milliseconds. */
	public static final long MIN_MS = 500;

	/** The upper limit of the drain time; retry times are up to 1.5 times as long. */
	public static final long MAX_DRAIN_MS = 60_000;

	private static final long MS_PER_S = 1_000;

	private static final double MIN_DRAIN_PER_S = 0.001;

	private final SplittableRandom random;

	/**
	 * Creates a calculator.
	 * @param seed the seed of the jitter
	 */
	public RetryAfterCalculator(long seed) {
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Returns a retry time. It is spread evenly from half to one and a half times the
	 * time that draining the backlog takes.
	 * @param backlog the work to be done first, including refused work that will return
	 * @param drainPerS the work served per second
	 * @return the time in milliseconds
	 */
	public long retryAfterMs(double backlog, double drainPerS) {
		double drainMs = Math.min(MAX_DRAIN_MS, MS_PER_S * Math.max(0, backlog) / Math.max(MIN_DRAIN_PER_S, drainPerS));
		double jitterRangeMs = Math.max(MIN_MS, drainMs);
		return Math.clamp((long) (drainMs / 2 + this.random.nextDouble() * jitterRangeMs), MIN_MS,
				MAX_DRAIN_MS + MAX_DRAIN_MS / 2);
	}

}
