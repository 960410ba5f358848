package io.fescuehold.core.servers;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses a server of a plain service: the one with the least load for its slots, where a
 * server that fails requests counts as more loaded. Among equals a server in the own
 * failure domain is preferred, then chance decides, so that daemons with the same
 * knowledge do not all choose the same server.
 */
public final class PlainChoice {

	/** A server that fails every request counts as this many times as loaded. */
	static final double FAILURE_FACTOR = 12;

	/** A request in another failure domain counts as this part of a request more. */
	static final double DISTANCE = 0.6;

	private final String failureDomain;

	private final RandomGenerator random;

	/**
	 * Creates a choice.
	 * @param failureDomain the own failure domain
	 * @param random decides among equals
	 */
	public PlainChoice(String failureDomain, RandomGenerator random) {
		this.failureDomain = failureDomain;
		this.random = random;
	}

	/**
	 * Chooses a server.
	 * @param candidates the servers that may be used
	 * @param nowMs the time in milliseconds
	 * @return the server, or null if there is no candidate
	 */
	public ServerState choose(List<ServerState> candidates, long nowMs) {
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
		double distance = candidate.server().failureDomain().equals(this.failureDomain) ? 0 : DISTANCE;
		double load = (candidate.load() + 1 + distance) / Math.max(1, candidate.server().slots());
		return load * (1 + FAILURE_FACTOR * candidate.health().failureRate(nowMs));
	}

}
