package io.fescuehold.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import io.fescuehold.config.TeamSpec;

/**
 * Admits requests of teams. While a pool is congested, every team gets its weighted
 * max-min share of this router's portion of the pool; hard limits apply at all times. The
 * decision uses only local state: entry answers spread the chats of a team over the
 * routers, so the shares computed at one router approximate those of the whole fleet.
 */
public final class FairAdmission {

	private static final long IDLE_RETENTION_MS = 600_000;

	/** The smallest part of the capacity that is shared out, whatever the pressure. */
	private static final double MIN_CAPACITY_PORTION = 0.3;

	private final IntSupplier routers;

	private final RetryAfterCalculator retryAfterCalculator;

	private final Map<PoolKey, TeamShares> pools = new HashMap<>();

	private final Map<String, TeamBucket> hardLimits = new HashMap<>();

	/**
	 * Creates an admission controller.
	 * @param routers the number of routers that share the pools
	 * @param seed the seed of the jitter in retry times
	 */
	public FairAdmission(IntSupplier routers, long seed) {
		this.routers = routers;
		this.retryAfterCalculator = new RetryAfterCalculator(seed);
	}

	/**
	 * Decides whether a request goes on to placement.
	 * @param share the share that owns the team
	 * @param model the model
	 * @param team the team
	 * @param spec the weight and limit of the team
	 * @param priority the priority within the team
	 * @param tokens the expected number of tokens to prefill and to generate
	 * @param pressure the pressure of the model's pool
	 * @param nowMs the time in milliseconds
	 * @return the decision
	 */
	public Admission admit(String share, String model, String team, TeamSpec spec, Priority priority, double tokens,
			PoolPressure pressure, long nowMs) {
		TeamShares pool = this.pools.computeIfAbsent(new PoolKey(share, model),
				(key) -> new TeamShares(TeamDemand.DEMAND_TIME_CONSTANT_MS));
		TeamDemand demand = pool.recordOffered(team, spec.weight(), tokens, nowMs);
		if (spec.maxTokensPerS() > 0) {
			Admission.Refused refused = checkHardLimit(team, spec, priority, tokens, nowMs);
			if (refused != null) {
				return refused;
			}
		}
		refresh(pool, pressure, nowMs);
		if (!pressure.isCongested()) {
			demand.resetBucket(nowMs);
			return new Admission.Admitted();
		}
		double fairTokensPerS = pool.fairPerS(spec.weight());
		if (demand.isWithin(fairTokensPerS, nowMs)) {
			demand.resetBucket(nowMs);
			return new Admission.Admitted();
		}
		if (demand.tryConsume(fairTokensPerS, priority, tokens, nowMs)) {
			return new Admission.Admitted();
		}
		double refusedTokens = demand.recordRefused(tokens, nowMs);
		return new Admission.Refused(this.retryAfterCalculator.retryAfterMs(refusedTokens, fairTokensPerS), false);
	}

	private Admission.Refused checkHardLimit(String team, TeamSpec spec, Priority priority, double tokens, long nowMs) {
		double ratePerS = (double) spec.maxTokensPerS() / Math.max(1, this.routers.getAsInt());
		TeamBucket bucket = this.hardLimits.computeIfAbsent(team, (key) -> new TeamBucket(nowMs));
		if (bucket.tryConsume(ratePerS, priority, tokens, nowMs)) {
			return null;
		}
		return new Admission.Refused(
				this.retryAfterCalculator.retryAfterMs(bucket.overdrawnTokens() + tokens, ratePerS), true);
	}

	private void refresh(TeamShares pool, PoolPressure pressure, long nowMs) {
		double portion = Math.clamp(2 - pressure.ratio(), MIN_CAPACITY_PORTION, 1);
		double capacityPerS = portion * pressure.capacityTokensPerS() / Math.max(1, this.routers.getAsInt());
		long idleSinceMs = nowMs - IDLE_RETENTION_MS;
		if (pool.refresh(capacityPerS, idleSinceMs, nowMs)) {
			this.hardLimits.values().removeIf((bucket) -> bucket.isIdleSince(idleSinceMs));
		}
	}

	private record PoolKey(String share, String model) {

	}

}
