package io.fescuehold.core.servers;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses a server of a plain service: the one with the least load for its slots, where a
 * server that fails requests or is slow counts as more loaded. Among equally loaded
 * servers, those in the daemon's own failure domain are preferred. Remaining ties are
 * broken at random, so that daemons with the same view do not all choose the same server.
 */
public final class LeastLoadedSelector {

	/** Multiplied with the failure rate and the load, this is added to the load. */
	static final double FAILURE_FACTOR = 12;

	/** Added to the load of a server in another failure domain. */
	static final double REMOTE_DOMAIN_PENALTY_REQUESTS = 0.6;

	private final String failureDomain;

	private final RandomGenerator random;

	/**
	 * Creates a selector.
	 * @param failureDomain the failure domain of this daemon
	 * @param random breaks ties
	 */
	public LeastLoadedSelector(String failureDomain, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.random = random;
	}

	/**
	 * Chooses a server.
	 * @param candidates the servers that may be used
	 * @param nowMs the time in milliseconds
	 * @return the server, or null if there is no candidate
	 */
	public ServerState select(List<ServerState> candidates, long nowMs) {
		ServerState best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		for (ServerState candidate : candidates) {
			double cost = cost(candidate, nowMs) + this.random.nextDouble() * 0.01;
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	private double cost(ServerState candidate, long nowMs) {
		double penaltyRequests = candidate.server().failureDomain().equals(this.failureDomain) ? 0
				: REMOTE_DOMAIN_PENALTY_REQUESTS;
		double load = (candidate.load(nowMs) + 1 + penaltyRequests) / Math.max(1, candidate.server().slots());
		return load * candidate.speed().factor(nowMs) * (1 + FAILURE_FACTOR * candidate.health().failureRate(nowMs));
	}

}
