package io.fescuehold.standin.modelserver;

/**
 * The capacity and speed of a model server.
 *
 * @param tokenMs the time between two tokens of a running request in milliseconds
 * @param prefillTokensPerS the number of prompt tokens processed per second
 * @param maxRunning the maximum number of requests in the batch
 * @param cacheTokens the capacity of the prefix cache in tokens
 * @param loadLagMs the age of the reported load in milliseconds
 * @param cacheEventLagMs the age at which cache events are published in milliseconds
 * @param checkFencing whether orders with an outdated fencing number are rejected
 */
public record ModelServerOptions(int tokenMs, int prefillTokensPerS, int maxRunning, int cacheTokens, int loadLagMs,
		int cacheEventLagMs, boolean checkFencing) {

	/** A server for tests: 5 ms per token, 16 requests at a time, fencing checked. */
	public static final ModelServerOptions DEFAULT = new ModelServerOptions(5, 100_000, 16, 100_000, 500, 200, true);

	public ModelServerOptions {
		if (tokenMs < 1 || prefillTokensPerS < 1 || maxRunning < 1 || cacheTokens < 0 || loadLagMs < 0
				|| cacheEventLagMs < 0) {
			throw new IllegalArgumentException("tokenMs, prefillTokensPerS and maxRunning must be at least 1 and"
					+ " cacheTokens, loadLagMs and cacheEventLagMs at least 0");
		}
	}

	/**
	 * Returns a copy with another token time.
	 * @param newTokenMs the time between two tokens in milliseconds
	 * @return the copy
	 */
	public ModelServerOptions withTokenMs(int newTokenMs) {
		return new ModelServerOptions(newTokenMs, this.prefillTokensPerS, this.maxRunning, this.cacheTokens,
				this.loadLagMs, this.cacheEventLagMs, this.checkFencing);
	}

	/**
	 * Returns a copy with another cache capacity.
	 * @param newCacheTokens the capacity of the prefix cache in tokens
	 * @return the copy
	 */
	public ModelServerOptions withCacheTokens(int newCacheTokens) {
		return new ModelServerOptions(this.tokenMs, this.prefillTokensPerS, this.maxRunning, newCacheTokens,
				this.loadLagMs, this.cacheEventLagMs, this.checkFencing);
	}

	/**
	 * Returns a copy that checks or ignores fencing numbers.
	 * @param newCheckFencing whether outdated numbers are rejected
	 * @return the copy
	 */
	public ModelServerOptions withCheckFencing(boolean newCheckFencing) {
		return new ModelServerOptions(this.tokenMs, this.prefillTokensPerS, this.maxRunning, this.cacheTokens,
				this.loadLagMs, this.cacheEventLagMs, newCheckFencing);
	}

	/**
	 * Returns a copy with another batch size.
	 * @param newMaxRunning the maximum number of requests in the batch
	 * @return the copy
	 */
	public ModelServerOptions withMaxRunning(int newMaxRunning) {
		return new ModelServerOptions(this.tokenMs, this.prefillTokensPerS, newMaxRunning, this.cacheTokens,
				this.loadLagMs, this.cacheEventLagMs, this.checkFencing);
	}

}
