package io.fescuehold.runtime.http.port;

/**
 * Bounds the requests that are sent again after a failure.
 */
public interface RetryAllowance {

	/**
	 * Counts a first attempt, which adds to the budget.
	 */
	void requestStarted();

	/**
	 * Takes a retry from the budget.
	 * @return whether the budget allows the retry
	 */
	boolean tryRetry();

}
