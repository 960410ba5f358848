package io.fescuehold.client;

/**
 * Limits retries to a tenth of the requests, with a small burst, so that callers do not
 * multiply the load of a fleet that is failing.
 */
final class RetryBudget {

	private static final double RATIO = 0.1;

	private static final double BURST = 10;

	private double tokens = BURST;

	/** Notes a first attempt. */
	synchronized void request() {
		this.tokens = Math.min(BURST, this.tokens + RATIO);
	}

	/**
	 * Takes the right to one retry.
	 * @return whether a retry is allowed
	 */
	synchronized boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
