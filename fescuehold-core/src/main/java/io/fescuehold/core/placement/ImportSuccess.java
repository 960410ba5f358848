package io.fescuehold.core.placement;

/**
 * Learns whether imports of KV caches deliver what was expected. Where they do not,
 * moving a chat costs its whole prefill.
 */
final class ImportSuccess {

	private static final double WEIGHT_OF_NEWEST = 0.1;

	private static final double MIN_RATE = 0.5;

	private static final double DELIVERED_PORTION = 0.5;

	private double rate = 1;

	void learn(long expectedTokens, long cachedTokens) {
		boolean isDelivered = cachedTokens >= DELIVERED_PORTION * expectedTokens;
		this.rate += WEIGHT_OF_NEWEST * ((isDelivered ? 1 : 0) - this.rate);
	}

	boolean isReliable() {
		return this.rate >= MIN_RATE;
	}

}
