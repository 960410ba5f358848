package io.fescuehold.core.limits;

import io.fescuehold.core.routes.ColdStart;

/**
 * The requests that one cold server may get from all daemons together.
 *
 * @param requests the number of requests in any window, at least 1
 * @param windowMs the length of the sliding window in milliseconds
 */
public record ColdBudget(int requests, long windowMs) {

	/**
	 * The part of the operators' bound that is used at most. The rest covers the moment
	 * at which daemons see different lists of daemons.
	 */
	static final double BOUND_FRACTION = 0.6;

	/** Requests that are sent this much apart may arrive closer together. */
	static final long JITTER_MS = 100;

	private static final long SECOND_MS = 1_000;

	/**
	 * Creates the budget of a service. It is the tolerated rate, which leaves about half
	 * of the usual bound unused.
	 * @param coldStart how the servers of the service behave after a start
	 * @param policy the operators' bounds
	 * @return the budget, or null if the service or the operators name no limit
	 */
	public static ColdBudget of(ColdStart coldStart, ServingPolicy policy) {
		if (!coldStart.isLimited() || policy.coldOverageFactor() <= 0) {
			return null;
		}
		double boundPerS = coldStart.requestsPerS() * policy.coldOverageFactor() + policy.coldSlackRequests();
		double perS = Math.min(coldStart.requestsPerS(), boundPerS * BOUND_FRACTION);
		int requests = (int) Math.max(1, Math.min(Integer.MAX_VALUE, Math.floor(perS)));
		// A rate below one a second needs a longer window for its single request.
		return new ColdBudget(requests, Math.round(SECOND_MS * Math.max(1, requests / perS)) + JITTER_MS);
	}

}
