package io.fescuehold.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import io.fescuehold.config.TeamSpec;

/**
 * Admits requests of teams. While a pool is congested, every team gets its weighted
 * max-min share of this router's portion of the pool; hard limits hold at all times. No
 * other router is asked: entry answers spread the chats of a team over the routers, so
 * local portions estimate the global ones.
 */
public final class FairAdmission {

	private static final long REFRESH_MS = 250;

	private static final long FORGET_MS = 600_000;

	private static final int MAX_TEAMS = 10_000;

	/** Below this pressure the portion of capacity is not cut further. */
	private static final double MIN_CAPACITY_PORTION = 0.3;

	private final IntSupplier routers;

	private final RetryAfterSpread spread;

	private final Map<PoolKey, Pool> pools = new HashMap<>();

	private final Map<String, TeamBucket> hardLimits = new HashMap<>();

	/**
	 * Creates an admission.
	 * @param routers the number of routers that share the pools
	 * @param seed the seed of the jitter in retry times
	 */
	public FairAdmission(IntSupplier routers, long seed) {
		this.routers = routers;
		this.spread = new RetryAfterSpread(seed);
	}

	/**
	 * Decides whether a request goes on to placement.
	 * @param share the share that owns the team
	 * @param model the model
	 * @param team the team
	 * @param spec the weight and limit of the team
	 * @param priority the priority within the team
	 * @param tokens the tokens to prefill and to generate, as expected
	 * @param pressure the pressure of the model's pool
	 * @param nowMs the time in milliseconds
	 * @return the decision
	 */
	public Admission admit(String share, String model, String team, TeamSpec spec, Priority priority, double tokens,
			PoolPressure pressure, long nowMs) {
		Pool pool = this.pools.computeIfAbsent(new PoolKey(share, model), (key) -> new Pool());
		TeamDemand demand = pool.teams.computeIfAbsent(team, (key) -> new TeamDemand(nowMs));
		demand.offered(spec.weight(), tokens, nowMs);
		if (spec.maxTokensPerS() > 0) {
			Admission.Refused refused = checkHardLimit(team, spec, priority, tokens, nowMs);
			if (refused != null) {
				return refused;
			}
		}
		refresh(pool, pressure, nowMs);
		if (!pressure.isCongested()) {
			demand.admittedFreely(nowMs);
			return new Admission.Admitted();
		}
		double fairPerS = pool.level * spec.weight();
		if (demand.isWithin(fairPerS, nowMs)) {
			demand.admittedFreely(nowMs);
			return new Admission.Admitted();
		}
		if (demand.take(fairPerS, priority, tokens, nowMs)) {
			return new Admission.Admitted();
		}
		double backlog = demand.refused(tokens, nowMs);
		return new Admission.Refused(this.spread.retryAfterMs(backlog, fairPerS), false);
	}

	private Admission.Refused checkHardLimit(String team, TeamSpec spec, Priority priority, double tokens, long nowMs) {
		double ratePerS = (double) spec.maxTokensPerS() / Math.max(1, this.routers.getAsInt());
		TeamBucket bucket = this.hardLimits.computeIfAbsent(team, (key) -> new TeamBucket(nowMs));
		if (bucket.take(ratePerS, priority, tokens, nowMs)) {
			return null;
		}
		return new Admission.Refused(this.spread.retryAfterMs(bucket.debt() + tokens, ratePerS), true);
	}

	private void refresh(Pool pool, PoolPressure pressure, long nowMs) {
		if (nowMs - pool.refreshedAtMs < REFRESH_MS) {
			return;
		}
		pool.refreshedAtMs = nowMs;
		if (pool.teams.size() > MAX_TEAMS) {
			pool.teams.values().removeIf((demand) -> demand.isIdleSince(nowMs - FORGET_MS));
			this.hardLimits.values().removeIf((bucket) -> bucket.isIdleSince(nowMs - FORGET_MS));
		}
		double[] demands = new double[pool.teams.size()];
		double[] weights = new double[pool.teams.size()];
		int index = 0;
		for (TeamDemand demand : pool.teams.values()) {
			demands[index] = demand.ratePerS(nowMs);
			weights[index] = demand.weight();
			index++;
		}
		double portion = Math.clamp(2 - pressure.ratio(), MIN_CAPACITY_PORTION, 1);
		double capacityPerS = portion * pressure.capacityTokensPerS() / Math.max(1, this.routers.getAsInt());
		pool.level = WaterFill.level(demands, weights, capacityPerS);
	}

	private record PoolKey(String share, String model) {

	}

	private static final class Pool {

		private final Map<String, TeamDemand> teams = new HashMap<>();

		private double level = Double.POSITIVE_INFINITY;

		private long refreshedAtMs = Long.MIN_VALUE / 2;

	}

}
