package io.fescuehold.core.limits;

/**
 * A token bucket that one request may overdraw, so that requests larger than the burst
 * are admitted at the right average rate. Requests of lower priority cannot use a part of
 * the burst that is reserved for higher priorities.
 */
final class TeamBucket {

	private static final double BURST_S = 2;

	private static final double MS_PER_S = 1_000;

	private static final double NORMAL_RESERVE = 0.2;

	private static final double LOW_RESERVE = 0.6;

	/** NaN if the bucket is full; its size follows from the rate of the next request. */
	private double levelTokens = Double.NaN;

	private final double burstS;

	private long updatedAtMs;

	TeamBucket(long nowMs) {
		this(BURST_S, nowMs);
	}

	TeamBucket(double burstS, long nowMs) {
		this.burstS = burstS;
		this.updatedAtMs = nowMs;
	}

	boolean tryConsume(double ratePerS, Priority priority, double tokens, long nowMs) {
		double burstTokens = refill(ratePerS, nowMs);
		if (this.levelTokens <= burstTokens * reserve(priority)) {
			return false;
		}
		this.levelTokens -= tokens;
		return true;
	}

	/**
	 * Consumes tokens whether there are any or not. The bucket is overdrawn by at most
	 * one burst.
	 * @param ratePerS the rate at which the bucket fills
	 * @param tokens the tokens
	 * @param nowMs the time in milliseconds
	 */
	void consume(double ratePerS, double tokens, long nowMs) {
		double burstTokens = refill(ratePerS, nowMs);
		this.levelTokens = Math.max(-burstTokens, this.levelTokens - tokens);
	}

	private double refill(double ratePerS, long nowMs) {
		double burstTokens = ratePerS * this.burstS;
		double refilledTokens = Double.isNaN(this.levelTokens) ? burstTokens
				: this.levelTokens + ratePerS * Math.max(0, nowMs - this.updatedAtMs) / MS_PER_S;
		this.levelTokens = Math.min(burstTokens, refilledTokens);
		this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
		return burstTokens;
	}

	void reset() {
		this.levelTokens = Double.NaN;
	}

	double overdrawnTokens() {
		return Math.max(0, -this.levelTokens);
	}

	boolean isIdleSince(long timeMs) {
		return this.updatedAtMs < timeMs;
	}

	private static double reserve(Priority priority) {
		return switch (priority) {
			case HIGH -> 0;
			case NORMAL -> NORMAL_RESERVE;
			case LOW -> LOW_RESERVE;
		};
	}

}
