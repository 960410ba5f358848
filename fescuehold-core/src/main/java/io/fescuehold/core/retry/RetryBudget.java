package io.fescuehold.core.retry;

/**
 * A token bucket that limits retries and hedges to a fraction of the requests. Every
 * request adds a fraction of a token, every retry or hedge takes one. After the first 500
 * requests, the number of attempts stays below 1.1 times the number of requests, however
 * many servers fail.
 */
public final class RetryBudget {

	/**
	 * 0.01 below 10 %, so that the amplification stays below 1.1 with the initial tokens.
	 */
	private static final double TOKENS_PER_REQUEST = 0.09;

	private static final double INITIAL_TOKENS = 5;

	private static final double MAX_TOKENS = 10;

	private double tokens = INITIAL_TOKENS;

	private long requests;

	private long attempts;

	/**
	 * Counts the first attempt of a request.
	 */
	public void request() {
		this.requests++;
		this.attempts++;
		this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_REQUEST);
	}

	/**
	 * Takes a token for a retry or hedge.
	 * @return whether the retry or hedge may be sent
	 */
	public boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		this.attempts++;
		return true;
	}

	/**
	 * Returns the average number of attempts per request so far.
	 * @return the ratio, 1 without retries
	 */
	public double amplification() {
		return (this.requests > 0) ? (double) this.attempts / this.requests : 1;
	}

}
