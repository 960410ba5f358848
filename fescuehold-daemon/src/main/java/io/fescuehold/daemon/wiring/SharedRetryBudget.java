package io.fescuehold.daemon.wiring;

import io.fescuehold.core.retry.RetryBudget;
import io.fescuehold.runtime.http.port.RetryAllowance;

/**
 * A thread-safe retry budget, shared by the threads of a router.
 */
final class SharedRetryBudget implements RetryAllowance {

	private final RetryBudget budget = new RetryBudget();

	@Override
	public synchronized void requestStarted() {
		this.budget.request();
	}

	@Override
	public synchronized boolean tryRetry() {
		return this.budget.tryAcquire();
	}

	/**
	 * Returns the ratio of attempts to requests.
	 * @return the ratio, 1 without retries
	 */
	synchronized double amplification() {
		return this.budget.amplification();
	}

}
