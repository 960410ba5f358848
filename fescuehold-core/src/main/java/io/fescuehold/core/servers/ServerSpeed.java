package io.fescuehold.core.servers;

/**
 * How long work takes at one server compared with the other servers of its service, as
 * far as this daemon knows: for the moment, from what the server says in its responses,
 * and for good, from the times that requests took there. Both figures lose weight with
 * their age until the server counts as usual again. Not thread-safe.
 */
public final class ServerSpeed {

	/** Other work on the server's machine comes and goes several times a second. */
	static final long MOMENT_HALF_LIFE_MS = 300;

	/** Older statements of a server say nothing of its work now. */
	static final long MOMENT_EXPIRY_MS = 1_200;

	/** The time in which a learned difference halves without new times. */
	static final long LEARNED_HALF_LIFE_MS = 20_000;

	/** Fewer times do not tell a slow server from chance. */
	static final int MIN_TIMES = 20;

	/** Learned differences below this fraction are no reason to choose another server. */
	static final double TOLERATED_DIFFERENCE = 0.1;

	/** In shorter times the delays of this daemon weigh more than the server's work. */
	static final double MIN_EXPECTED_MS = 10;

	/** A mean that chance moves this many standard errors away from 1 is rare. */
	private static final double SIGNIFICANT_ERRORS = 3;

	private static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * The number of equally weighted times whose mean varies as much as the smoothed one.
	 */
	private static final double SMOOTHED_TIMES = 2 / SMOOTHING_FACTOR - 1;

	/**
	 * Limits the weight of one time, for instance of a request that stalled, and of what
	 * a server says.
	 */
	private static final double MAX_FACTOR = 4;

	private double momentFactor = 1;

	private long momentMs = Long.MIN_VALUE / 2;

	private double learnedRatio = 1;

	private double learnedVariance;

	private long learnedMs;

	private int timeCount;

	/**
	 * Records what the server said of its load. One that says that it is faster than
	 * usual counts as usual, so that an odd figure does not attract all requests.
	 * @param report the report
	 * @param nowMs the time in milliseconds
	 */
	public void recordReport(ServerLoadReport report, long nowMs) {
		double factor = report.workPercent() / (double) ServerLoadReport.USUAL_WORK_PERCENT;
		this.momentFactor = Math.clamp(factor, 1, MAX_FACTOR);
		this.momentMs = nowMs;
	}

	/**
	 * Records how long a request took. What the server said of the moment is taken out,
	 * so that a slow moment does not make it slow for good.
	 * @param timeMs the time in milliseconds
	 * @param expectedMs the time in milliseconds that such a request takes at the servers
	 * of the service
	 * @param nowMs the time in milliseconds
	 */
	public void recordTime(double timeMs, double expectedMs, long nowMs) {
		if (!(timeMs > 0) || !(expectedMs >= MIN_EXPECTED_MS)) {
			return;
		}
		double ratio = Math.min(timeMs / expectedMs / momentFactor(nowMs), MAX_FACTOR);
		this.timeCount++;
		double weight = Math.max(SMOOTHING_FACTOR, 1.0 / this.timeCount);
		double difference = ratio - decayedRatio(nowMs);
		this.learnedRatio = decayedRatio(nowMs) + weight * difference;
		this.learnedVariance = (1 - weight) * (this.learnedVariance + weight * difference * difference);
		this.learnedMs = nowMs;
	}

	/**
	 * Returns how long work takes at the server.
	 * @param nowMs the time in milliseconds
	 * @return the multiple of the usual time, 1 if nothing else is known
	 */
	public double factor(long nowMs) {
		return learnedFactor(nowMs) * momentFactor(nowMs);
	}

	/**
	 * Returns how long work takes at the server for the moment.
	 * @param nowMs the time in milliseconds
	 * @return the multiple of its usual time, closer to 1 the older the statement is
	 */
	public double momentFactor(long nowMs) {
		long ageMs = momentAgeMs(nowMs);
		if (ageMs >= MOMENT_EXPIRY_MS) {
			return 1;
		}
		return 1 + (this.momentFactor - 1) * Math.pow(0.5, Math.max(0, ageMs) / (double) MOMENT_HALF_LIFE_MS);
	}

	/**
	 * Returns how long work usually takes at the server. A server is never taken for
	 * fast, because most times are below the mean: a few long ones make up for them.
	 * @param nowMs the time in milliseconds
	 * @return the multiple of the usual time of its service, exactly 1 while too few
	 * times are known or the server is not slower by more than chance explains
	 */
	public double learnedFactor(long nowMs) {
		if (this.timeCount < MIN_TIMES) {
			return 1;
		}
		double factor = decayedRatio(nowMs);
		double error = Math.sqrt(this.learnedVariance / Math.min(this.timeCount, SMOOTHED_TIMES));
		return (factor - 1 > Math.max(TOLERATED_DIFFERENCE, SIGNIFICANT_ERRORS * error)) ? factor : 1;
	}

	/**
	 * Returns the age of the server's last statement.
	 * @param nowMs the time in milliseconds
	 * @return the age in milliseconds, very large without a statement
	 */
	public long momentAgeMs(long nowMs) {
		return nowMs - this.momentMs;
	}

	/**
	 * Returns the number of times that were learned from.
	 * @return the number
	 */
	public int timeCount() {
		return this.timeCount;
	}

	private double decayedRatio(long nowMs) {
		double weight = Math.pow(0.5, Math.max(0, nowMs - this.learnedMs) / (double) LEARNED_HALF_LIFE_MS);
		return 1 + (this.learnedRatio - 1) * weight;
	}

}
