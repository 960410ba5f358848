package io.fescuehold.core.routes;

/**
 * The capacity of a model engine.
 *
 * @param slots the number of requests that run concurrently
 * @param cacheTokens the number of tokens that its memory holds, for running requests and
 * cached prompts
 * @param tokenBytes the memory that one token takes, in bytes
 * @param linkMbps the rate at which engines copy memory from each other, in megabits a
 * second, or 0 if it is unknown
 * @param eventTokens the tokens of one event of a stream, at least 1
 */
public record EngineSpec(int slots, long cacheTokens, long tokenBytes, double linkMbps, int eventTokens) {

	private static final double BITS_PER_BYTE = 8;

	private static final double BITS_PER_MS_OF_MBPS = 1_000;

	/**
	 * Replaces unusable values.
	 */
	public EngineSpec {
		linkMbps = Double.isFinite(linkMbps) ? Math.max(0, linkMbps) : 0;
		eventTokens = Math.max(1, eventTokens);
	}

	/**
	 * Creates a capacity with an unknown rate of copies and one token an event.
	 * @param slots the number of requests that run concurrently
	 * @param cacheTokens the number of tokens that its memory holds
	 * @param tokenBytes the memory that one token takes, in bytes
	 */
	public EngineSpec(int slots, long cacheTokens, long tokenBytes) {
		this(slots, cacheTokens, tokenBytes, 0, 1);
	}

	/**
	 * Returns the time that it takes to copy the memory of a token.
	 * @return the time in milliseconds, or NaN if it is unknown
	 */
	public double copyMsPerToken() {
		boolean known = this.linkMbps > 0 && this.tokenBytes > 0;
		return known ? this.tokenBytes * BITS_PER_BYTE / (this.linkMbps * BITS_PER_MS_OF_MBPS) : Double.NaN;
	}

}
