package io.fescuehold.core.placement;

/**
 * Tracks the success rate of KV cache imports as a moving average. While imports are
 * unreliable, moving a chat costs its whole prefill.
 */
final class ImportSuccessRate {

	private static final double SMOOTHING_FACTOR = 0.1;

	private static final double MIN_SUCCESS_RATE = 0.5;

	private static final double MIN_DELIVERED_FRACTION = 0.5;

	private double successRate = 1;

	void update(long expectedTokens, long cachedTokens) {
		boolean isDelivered = cachedTokens >= MIN_DELIVERED_FRACTION * expectedTokens;
		this.successRate += SMOOTHING_FACTOR * ((isDelivered ? 1 : 0) - this.successRate);
	}

	boolean isReliable() {
		return this.successRate >= MIN_SUCCESS_RATE;
	}

}
