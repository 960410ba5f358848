package io.fescuehold.core.limits;

/**
 * What one team asks of a pool through this router.
 */
final class TeamDemand {

	private static final double DEMAND_MS = 5_000;

	private static final double REFUSED_MS = 10_000;

	/**
	 * A team counts as above its share only if its demand is above by this many standard
	 * deviations, because a router sees few requests of a small team.
	 */
	private static final double NOISE_DEVIATIONS = 2;

	private final DecayingSum offered;

	private final DecayingSum refused;

	private final TeamBucket bucket;

	private int weight = 1;

	private long seenAtMs;

	TeamDemand(long nowMs) {
		this.offered = new DecayingSum(DEMAND_MS, nowMs);
		this.refused = new DecayingSum(REFUSED_MS, nowMs);
		this.bucket = new TeamBucket(nowMs);
	}

	void offered(int teamWeight, double tokens, long nowMs) {
		this.weight = teamWeight;
		this.seenAtMs = nowMs;
		this.offered.add(tokens, nowMs);
	}

	int weight() {
		return this.weight;
	}

	double ratePerS(long nowMs) {
		return this.offered.ratePerS(nowMs);
	}

	boolean isWithin(double fairPerS, long nowMs) {
		return this.offered.ratePerS(nowMs) - NOISE_DEVIATIONS * this.offered.rateDeviationPerS(nowMs) <= fairPerS;
	}

	void admittedFreely(long nowMs) {
		this.bucket.fill();
	}

	boolean take(double fairPerS, Priority priority, double tokens, long nowMs) {
		return this.bucket.take(fairPerS, priority, tokens, nowMs);
	}

	/**
	 * Counts a refused request.
	 * @param tokens the tokens of the request
	 * @param nowMs the time in milliseconds
	 * @return the tokens refused recently, which are expected back
	 */
	double refused(double tokens, long nowMs) {
		this.refused.add(tokens, nowMs);
		return this.refused.sum(nowMs);
	}

	boolean isIdleSince(long timeMs) {
		return this.seenAtMs < timeMs;
	}

}
