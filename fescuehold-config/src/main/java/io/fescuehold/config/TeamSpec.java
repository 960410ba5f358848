package io.fescuehold.config;

/**
 * A team that sends requests through the fleet.
 *
 * @param weight the relative share of a congested model pool that the team is entitled
 * to, 1 to 1,000
 * @param maxTokensPerS the hard limit over all routers in tokens per second, or 0 for
 * none
 */
public record TeamSpec(int weight, long maxTokensPerS) {

	static final int MAX_WEIGHT = 1_000;

	public TeamSpec {
		Checks.inRange("weight", weight, 1, MAX_WEIGHT);
		Checks.inRange("maxTokensPerS", maxTokensPerS, 0, Long.MAX_VALUE);
	}

}
