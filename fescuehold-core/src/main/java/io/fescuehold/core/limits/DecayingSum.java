package io.fescuehold.core.limits;

/**
 * A sum that decays exponentially. Divided by its time constant it is a rate.
 */
final class DecayingSum {

	private static final double MS_PER_S = 1_000;

	private final double timeConstantMs;

	private double sum;

	private double sumOfSquares;

	private long updatedAtMs;

	DecayingSum(double timeConstantMs, long nowMs) {
		this.timeConstantMs = timeConstantMs;
		this.updatedAtMs = nowMs;
	}

	void add(double amount, long nowMs) {
		decay(nowMs);
		this.sum += amount;
		this.sumOfSquares += amount * amount;
	}

	double sum(long nowMs) {
		decay(nowMs);
		return this.sum;
	}

	double ratePerS(long nowMs) {
		return sum(nowMs) * MS_PER_S / this.timeConstantMs;
	}

	/**
	 * Returns the standard deviation of the rate if arrivals are independent.
	 * @param nowMs the time in milliseconds
	 * @return the deviation per second
	 */
	double rateDeviationPerS(long nowMs) {
		decay(nowMs);
		return Math.sqrt(this.sumOfSquares) * MS_PER_S / this.timeConstantMs;
	}

	private void decay(long nowMs) {
		if (nowMs <= this.updatedAtMs) {
			return;
		}
		double factor = Math.exp(-(nowMs - this.updatedAtMs) / this.timeConstantMs);
		this.sum *= factor;
		this.sumOfSquares *= factor;
		this.updatedAtMs = nowMs;
	}

}
