package io.fescuehold.core.servers;

import java.util.HashMap;
import java.util.Map;

/**
 * The time that work of a kind usually takes, as a line over the tokens that are read: a
 * fixed part and a part for each token. The line is fitted to the recent times that this
 * daemon has seen. Not thread-safe.
 */
public final class WorkTimes {

	/** Fewer times say nothing of the next one. */
	static final int MIN_TIMES = 20;

	/** Below this spread of the tokens the part for each token is not known. */
	static final double MIN_SPREAD_TOKENS = 100;

	private static final double SMOOTHING_FACTOR = 0.02;

	/** Limits the weight of one time, for instance of a request that stalled. */
	private static final double MAX_FACTOR = 4;

	private final Map<String, Line> lines = new HashMap<>();

	/**
	 * Records a time.
	 * @param kind the kind of work, such as a route or a service
	 * @param readTokens the tokens that were read, 0 for work without a prompt
	 * @param timeMs the time in milliseconds at a server of usual speed
	 */
	public void record(String kind, int readTokens, double timeMs) {
		if (timeMs > 0) {
			this.lines.computeIfAbsent(kind, (name) -> new Line()).add(readTokens, timeMs);
		}
	}

	/**
	 * Returns the usual time.
	 * @param kind the kind of work
	 * @param readTokens the tokens that are read
	 * @return the time in milliseconds, or NaN if too few times are known
	 */
	public double expectedMs(String kind, int readTokens) {
		Line line = this.lines.get(kind);
		return (line != null && line.count >= MIN_TIMES) ? line.at(readTokens) : Double.NaN;
	}

	/**
	 * Returns the time for each token that is read.
	 * @param kind the kind of work
	 * @return the time in milliseconds, or NaN if it is not known
	 */
	public double msPerToken(String kind) {
		Line line = this.lines.get(kind);
		return (line != null && line.count >= MIN_TIMES) ? line.slope() : Double.NaN;
	}

	/**
	 * Returns the time for the tokens that a request reads on average.
	 * @param kind the kind of work
	 * @return the time in milliseconds, 0 if it is not known
	 */
	public double meanReadMs(String kind) {
		double msPerToken = msPerToken(kind);
		return Double.isNaN(msPerToken) ? 0 : msPerToken * this.lines.get(kind).meanTokens;
	}

	private static final class Line {

		private double meanTokens;

		private double meanMs;

		private double variance;

		private double covariance;

		private int count;

		private void add(int tokens, double timeMs) {
			double boundedMs = (this.count >= MIN_TIMES) ? Math.min(timeMs, MAX_FACTOR * at(tokens)) : timeMs;
			this.count++;
			double weight = Math.max(SMOOTHING_FACTOR, 1.0 / this.count);
			double tokensAbove = tokens - this.meanTokens;
			double msAbove = boundedMs - this.meanMs;
			this.meanTokens += weight * tokensAbove;
			this.meanMs += weight * msAbove;
			this.variance = (1 - weight) * (this.variance + weight * tokensAbove * tokensAbove);
			this.covariance = (1 - weight) * (this.covariance + weight * tokensAbove * msAbove);
		}

		private double slope() {
			boolean known = this.variance >= MIN_SPREAD_TOKENS * MIN_SPREAD_TOKENS && this.covariance > 0;
			return known ? this.covariance / this.variance : Double.NaN;
		}

		private double at(int tokens) {
			double slope = slope();
			double ms = Double.isNaN(slope) ? this.meanMs : this.meanMs + slope * (tokens - this.meanTokens);
			return Math.max(ms, this.meanMs / MAX_FACTOR);
		}

	}

}
