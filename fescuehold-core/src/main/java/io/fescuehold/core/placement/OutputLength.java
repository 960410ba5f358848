package io.fescuehold.core.placement;

/**
 * Learns how many tokens requests generate, because their limit is usually far above what
 * they use.
 */
final class OutputLength {

	private static final double START_TOKENS = 256;

	private static final double WEIGHT_OF_NEWEST = 0.02;

	private double meanTokens = START_TOKENS;

	void learn(long outputTokens) {
		if (outputTokens >= 0) {
			this.meanTokens += WEIGHT_OF_NEWEST * (outputTokens - this.meanTokens);
		}
	}

	double expected(long maxOutputTokens) {
		return (maxOutputTokens > 0) ? Math.min(maxOutputTokens, this.meanTokens) : this.meanTokens;
	}

}
