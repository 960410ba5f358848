package io.fescuehold.core.retry;

/**
 * Decides when an idempotent lookup is sent to a second server: after the 95th percentile
 * of recent latencies, if the retry budget allows it. The percentile is read from a
 * histogram with logarithmic buckets whose counts are halved regularly, so that old
 * latencies lose weight.
 */
public final class HedgePolicy {

	private static final double PERCENTILE = 0.95;

	private static final int BUCKETS_PER_OCTAVE = 4;

	private static final int BUCKETS = 80;

	private static final int HALVE_AFTER_SAMPLES = 2_000;

	private static final int MIN_SAMPLES = 20;

	private static final long DEFAULT_DELAY_MS = 200;

	private static final long MIN_DELAY_MS = 2;

	private final RetryBudget budget;

	private final int[] counts = new int[BUCKETS];

	private int total;

	/**
	 * Creates a policy.
	 * @param budget the budget shared with the retries
	 */
	public HedgePolicy(RetryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Records the latency of a lookup.
	 * @param latencyMs the latency in milliseconds
	 */
	public void recordLatency(long latencyMs) {
		this.counts[bucket(latencyMs)]++;
		this.total++;
		if (this.total >= HALVE_AFTER_SAMPLES) {
			this.total = 0;
			for (int index = 0; index < BUCKETS; index++) {
				this.counts[index] /= 2;
				this.total += this.counts[index];
			}
		}
	}

	/**
	 * Returns the delay after which a lookup is hedged.
	 * @return the delay in milliseconds
	 */
	public long hedgeDelayMs() {
		if (this.total < MIN_SAMPLES) {
			return DEFAULT_DELAY_MS;
		}
		double threshold = PERCENTILE * this.total;
		int cumulative = 0;
		for (int index = 0; index < BUCKETS; index++) {
			cumulative += this.counts[index];
			if (cumulative >= threshold) {
				return Math.max(MIN_DELAY_MS, upperBoundMs(index));
			}
		}
		return upperBoundMs(BUCKETS - 1);
	}

	/**
	 * Takes a token of the budget for a hedge.
	 * @return whether the hedge may be sent
	 */
	public boolean tryHedge() {
		return this.budget.tryAcquire();
	}

	private static int bucket(long latencyMs) {
		double octaves = Math.log(Math.max(1, latencyMs)) / Math.log(2);
		return Math.min(BUCKETS - 1, (int) Math.ceil(octaves * BUCKETS_PER_OCTAVE));
	}

	private static long upperBoundMs(int bucket) {
		return Math.round(Math.pow(2, (double) bucket / BUCKETS_PER_OCTAVE));
	}

}
