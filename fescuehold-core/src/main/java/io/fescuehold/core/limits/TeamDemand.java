package io.fescuehold.core.limits;

/**
 * The demand of one team on a pool, as seen by this router.
 */
final class TeamDemand {

	static final double DEMAND_TIME_CONSTANT_MS = 5_000;

	private static final double REFUSED_TIME_CONSTANT_MS = 10_000;

	/**
	 * A team counts as above its share only if its demand exceeds the share by more than
	 * this many standard deviations. A router receives few requests of a small team, so
	 * the measured rate is noisy.
	 */
	private static final double NOISE_DEVIATIONS = 2;

	private final DecayingSum offered;

	private final DecayingSum refused;

	private final TeamBucket bucket;

	private int weight = 1;

	private long lastRequestAtMs;

	TeamDemand(long nowMs) {
		this(DEMAND_TIME_CONSTANT_MS, nowMs);
	}

	TeamDemand(double timeConstantMs, long nowMs) {
		this.offered = new DecayingSum(timeConstantMs, nowMs);
		this.refused = new DecayingSum(REFUSED_TIME_CONSTANT_MS, nowMs);
		this.bucket = new TeamBucket(nowMs);
	}

	void recordOffered(int teamWeight, double tokens, long nowMs) {
		this.weight = teamWeight;
		this.lastRequestAtMs = nowMs;
		this.offered.add(tokens, nowMs);
	}

	int weight() {
		return this.weight;
	}

	double ratePerS(long nowMs) {
		return this.offered.ratePerS(nowMs);
	}

	boolean isWithin(double fairTokensPerS, long nowMs) {
		return isWithin(fairTokensPerS, NOISE_DEVIATIONS, nowMs);
	}

	boolean isWithin(double fairPerS, double noiseDeviations, long nowMs) {
		return this.offered.ratePerS(nowMs) - noiseDeviations * this.offered.rateDeviationPerS(nowMs) <= fairPerS;
	}

	void resetBucket(long nowMs) {
		this.bucket.reset();
	}

	boolean tryConsume(double fairTokensPerS, Priority priority, double tokens, long nowMs) {
		return this.bucket.tryConsume(fairTokensPerS, priority, tokens, nowMs);
	}

	/**
	 * Counts a refused request.
	 * @param tokens the tokens of the request
	 * @param nowMs the time in milliseconds
	 * @return the tokens of recently refused requests, which are expected to be retried
	 */
	double recordRefused(double tokens, long nowMs) {
		this.refused.add(tokens, nowMs);
		return this.refused.sum(nowMs);
	}

	boolean isIdleSince(long timeMs) {
		return this.lastRequestAtMs < timeMs;
	}

}
