package io.fescuehold.core.placement;

/**
 * Estimates how many tokens requests generate as a moving average, because their limit is
 * usually far above what they use.
 */
public final class OutputLengthEstimator {

	private static final double INITIAL_MEAN_TOKENS = 256;

	private static final double SMOOTHING_FACTOR = 0.02;

	private double meanTokens = INITIAL_MEAN_TOKENS;

	/**
	 * Creates an estimator that knows no request.
	 */
	public OutputLengthEstimator() {
	}

	/**
	 * Records how many tokens a request has generated.
	 * @param outputTokens the number of tokens; a negative number is ignored
	 */
	public void update(long outputTokens) {
		if (outputTokens >= 0) {
			this.meanTokens += SMOOTHING_FACTOR * (outputTokens - this.meanTokens);
		}
	}

	/**
	 * Returns how many tokens a request is expected to generate.
	 * @param maxOutputTokens the maximum of the request, or 0 without one
	 * @return the number of tokens, at most the maximum
	 */
	public double expectedTokens(long maxOutputTokens) {
		return (maxOutputTokens > 0) ? Math.min(maxOutputTokens, this.meanTokens) : this.meanTokens;
	}

}
