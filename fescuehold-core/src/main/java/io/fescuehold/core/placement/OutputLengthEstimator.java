package io.fescuehold.core.placement;

/**
 * Estimates how many tokens requests generate as a moving average, because their limit is
 * usually far above what they use.
 */
final class OutputLengthEstimator {

	private static final double INITIAL_MEAN_TOKENS = 256;

	private static final double SMOOTHING_FACTOR = 0.02;

	private double meanTokens = INITIAL_MEAN_TOKENS;

	void update(long outputTokens) {
		if (outputTokens >= 0) {
			this.meanTokens += SMOOTHING_FACTOR * (outputTokens - this.meanTokens);
		}
	}

	double expectedTokens(long maxOutputTokens) {
		return (maxOutputTokens > 0) ? Math.min(maxOutputTokens, this.meanTokens) : this.meanTokens;
	}

}
