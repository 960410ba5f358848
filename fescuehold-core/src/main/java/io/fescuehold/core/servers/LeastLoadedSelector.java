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

	/** Breaks ties between costs. */
	private static final double TIE_SPREAD = 0.01;

	/**
	 * The difference in requests that decides nothing if it is only known late. Smaller
	 * than the penalty of another domain, so that idle servers serve their own one.
	 */
	static final double MAX_SPREAD_REQUESTS = 0.5;

	/** The age of the requests of the other daemons as far as they are known. */
	static final double REPORT_AGE_MS = 400;

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
	 * Chooses a server for requests of unknown length.
	 * @param candidates the servers that may be used
	 * @param nowMs the time in milliseconds
	 * @return the server, or null if there is no candidate
	 */
	public ServerState select(List<ServerState> candidates, long nowMs) {
		return select(candidates, Double.NaN, nowMs);
	}

	/**
	 * Chooses a server. The requests of the other daemons are known late: most of those
	 * that take a shorter time have ended by then, and all daemons would take the server
	 * that seemed idle.
	 * @param candidates the servers that may be used
	 * @param usualMs how long such a request usually takes in milliseconds, or NaN if
	 * that is unknown
	 * @param nowMs the time in milliseconds
	 * @return the server, or null if there is no candidate
	 */
	public ServerState select(List<ServerState> candidates, double usualMs, long nowMs) {
		double othersWeight = Double.isNaN(usualMs) ? 1 : usualMs / (usualMs + REPORT_AGE_MS);
		double spreadRequests = MAX_SPREAD_REQUESTS * (1 - othersWeight);
		ServerState best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		for (ServerState candidate : candidates) {
			double spread = Math.max(TIE_SPREAD, spreadRequests / Math.max(1, candidate.server().slots()));
			double cost = cost(candidate, othersWeight, nowMs) + this.random.nextDouble() * spread;
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	private double cost(ServerState candidate, double othersWeight, long nowMs) {
		double penaltyRequests = candidate.server().failureDomain().equals(this.failureDomain) ? 0
				: REMOTE_DOMAIN_PENALTY_REQUESTS;
		double requests = candidate.ownRequests() + othersWeight * (candidate.load(nowMs) - candidate.ownRequests());
		double load = (requests + 1 + penaltyRequests) / Math.max(1, candidate.server().slots());
		return load * candidate.speed().factor(nowMs) * (1 + FAILURE_FACTOR * candidate.health().failureRate(nowMs));
	}

}
