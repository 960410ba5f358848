package io.fescuehold.runtime.http.port;

/**
 * The retry budget: limits how many requests are sent again after a failure.
 */
public interface RetryAllowance {

	/**
	 * Records the first attempt of a request, which increases the budget.
	 */
	void requestStarted();

	/**
	 * Takes one retry from the budget if there is one left.
	 * @return whether the budget allows the retry
	 */
	boolean tryRetry();

}
