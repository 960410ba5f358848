package io.fescuehold.core.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * The demands of the teams on one capacity and the level up to which weighted max-min
 * fairness serves them.
 */
final class TeamShares {

	private static final long REFRESH_INTERVAL_MS = 250;

	private static final int MAX_TEAMS = 10_000;

	private final Map<String, TeamDemand> teams = new HashMap<>();

	private final double timeConstantMs;

	private double fairPerSPerWeight = Double.POSITIVE_INFINITY;

	private long refreshedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates shares without teams.
	 * @param timeConstantMs the time in milliseconds over which demands are averaged
	 */
	TeamShares(double timeConstantMs) {
		this.timeConstantMs = timeConstantMs;
	}

	/**
	 * Records a request, whether it is admitted or not.
	 * @param team the team
	 * @param weight the weight of the team
	 * @param amount the size of the request
	 * @param nowMs the time in milliseconds
	 * @return the demand of the team
	 */
	TeamDemand recordOffered(String team, int weight, double amount, long nowMs) {
		TeamDemand demand = this.teams.computeIfAbsent(team, (key) -> new TeamDemand(this.timeConstantMs, nowMs));
		demand.recordOffered(weight, amount, nowMs);
		return demand;
	}

	/**
	 * Shares out the capacity if the last time was long enough ago.
	 * @param capacityPerS the capacity per second
	 * @param idleSinceMs teams without requests since this time may be forgotten
	 * @param nowMs the time in milliseconds
	 * @return whether teams were forgotten because there are too many
	 */
	boolean refresh(double capacityPerS, long idleSinceMs, long nowMs) {
		if (nowMs - this.refreshedAtMs < REFRESH_INTERVAL_MS) {
			return false;
		}
		this.refreshedAtMs = nowMs;
		boolean full = this.teams.size() > MAX_TEAMS;
		if (full) {
			this.teams.values().removeIf((demand) -> demand.isIdleSince(idleSinceMs));
		}
		double[] demands = this.teams.values().stream().mapToDouble((demand) -> demand.ratePerS(nowMs)).toArray();
		double[] weights = this.teams.values().stream().mapToDouble(TeamDemand::weight).toArray();
		this.fairPerSPerWeight = WaterFill.level(demands, weights, capacityPerS);
		return full;
	}

	/**
	 * Returns the fair share of a team.
	 * @param weight the weight of the team
	 * @return the share per second, infinite while the capacity covers every demand
	 */
	double fairPerS(int weight) {
		return this.fairPerSPerWeight * weight;
	}

}
