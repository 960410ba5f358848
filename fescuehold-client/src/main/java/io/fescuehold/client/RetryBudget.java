package io.fescuehold.client;

/**
 * Token bucket that limits retries to a tenth of the requests plus a small burst, so that
 * callers do not multiply the load of a failing fleet.
 */
final class RetryBudget {

	private static final double RETRIES_PER_REQUEST = 0.1;

	private static final double MAX_RETRIES_AT_ONCE = 10;

	private double tokens = MAX_RETRIES_AT_ONCE;

	/** Records the first attempt of a request. */
	synchronized void recordRequest() {
		this.tokens = Math.min(MAX_RETRIES_AT_ONCE, this.tokens + RETRIES_PER_REQUEST);
	}

	/**
	 * Takes one retry from the budget.
	 * @return whether a retry is allowed
	 */
	synchronized boolean tryAcquireRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
