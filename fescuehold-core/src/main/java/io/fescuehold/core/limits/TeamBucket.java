package io.fescuehold.core.limits;

/**
 * A token bucket that may be overdrawn by one request, so that requests larger than the
 * burst pass at the right average rate. Lower priorities must leave a part of the burst
 * to the higher ones.
 */
final class TeamBucket {

	private static final double BURST_S = 2;

	private static final double MS_PER_S = 1_000;

	private static final double NORMAL_RESERVE = 0.2;

	private static final double LOW_RESERVE = 0.6;

	private double level = Double.NaN;

	private long updatedAtMs;

	TeamBucket(long nowMs) {
		this.updatedAtMs = nowMs;
	}

	boolean take(double ratePerS, Priority priority, double tokens, long nowMs) {
		double burst = ratePerS * BURST_S;
		double refilled = Double.isNaN(this.level) ? burst
				: this.level + ratePerS * Math.max(0, nowMs - this.updatedAtMs) / MS_PER_S;
		this.level = Math.min(burst, refilled);
		this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
		if (this.level <= burst * reserve(priority)) {
			return false;
		}
		this.level -= tokens;
		return true;
	}

	void fill() {
		this.level = Double.NaN;
	}

	double debt() {
		return Math.max(0, -this.level);
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
