package io.fescuehold.core.placement;

import java.util.Map;

/**
 * Estimates the load of each server of a pool relative to the mean, where 1 is the mean.
 * The estimate combines the last report, which decays towards the mean with its age, and
 * the recent work of this router, scaled to account for that of the other routers. Load
 * is the time in seconds that a server needs for its outstanding tokens.
 */
final class LoadEstimator {

	/** The running requests of older reports are ignored. */
	private static final long MAX_REPORT_AGE_MS = 5_000;

	private static final double MIN_MEAN_LOAD_S = 0.05;

	private final ServerPool pool;

	private final PlacementTuning tuning;

	private final double[] tokensPerS;

	/**
	 * The deviation of the reported load from the mean, relative to the mean. While
	 * reports are applied, the reported tokens, or NaN without a report.
	 */
	private final double[] reportedDeviations;

	private final double[] ownTokens;

	private final int[] ownRequests;

	private final int[] reportedRequests;

	private final int[] ownRequestsSinceReport;

	private final long[] reportedAtMs;

	private final double[] relativeLoads;

	private final double[] weights;

	private long refreshedAtMs = Long.MIN_VALUE / 2;

	private double totalTokensPerS = 1;

	private double ownScale = 1;

	private long decayedAtMs;

	private double meanLoadS;

	private double ownMeanLoadS;

	LoadEstimator(ServerPool pool, PlacementTuning tuning) {
		this.pool = pool;
		this.tuning = tuning;
		int size = pool.size();
		this.tokensPerS = new double[size];
		this.reportedDeviations = new double[size];
		this.ownTokens = new double[size];
		this.ownRequests = new int[size];
		this.reportedRequests = new int[size];
		this.ownRequestsSinceReport = new int[size];
		this.reportedAtMs = new long[size];
		this.relativeLoads = new double[size];
		this.weights = new double[size];
		for (int index = 0; index < size; index++) {
			this.tokensPerS[index] = pool.spec(index).tokensPerS();
		}
	}

	/**
	 * Copies the work of this router from the estimator of an earlier view.
	 * @param earlier the earlier estimator
	 */
	void copyOwnWork(LoadEstimator earlier) {
		this.decayedAtMs = earlier.decayedAtMs;
		for (int index = 0; index < this.pool.size(); index++) {
			int earlierIndex = earlier.pool.indexOf(this.pool.id(index));
			if (earlierIndex >= 0) {
				this.ownTokens[index] = earlier.ownTokens[earlierIndex];
				this.ownRequests[index] = earlier.ownRequests[earlierIndex];
				this.ownRequestsSinceReport[index] = earlier.ownRequestsSinceReport[earlierIndex];
				this.reportedAtMs[index] = earlier.reportedAtMs[earlierIndex];
			}
		}
	}

	/**
	 * Updates the estimates.
	 * @param loads the newest reports by server id
	 * @param weightFractions the fraction of its weight that each server may receive
	 * @param routerCount the number of routers that share the pool
	 * @param nowMs the time in milliseconds
	 */
	void refresh(Map<String, ServerLoad> loads, double[] weightFractions, int routerCount, long nowMs) {
		decayOwnWork(nowMs);
		this.refreshedAtMs = nowMs;
		this.ownScale = Math.min(routerCount, this.tuning.ownGain());
		applyReports(loads, weightFractions, nowMs);
		for (int index = 0; index < this.relativeLoads.length; index++) {
			updateEstimate(index);
		}
	}

	private void updateEstimate(int index) {
		double ownDeviationS = this.ownTokens[index] / this.tokensPerS[index] - this.ownMeanLoadS;
		double load = Math.max(0, 1 + this.reportedDeviations[index] + this.ownScale * ownDeviationS / this.meanLoadS);
		this.relativeLoads[index] = load;
		this.weights[index] = this.tokensPerS[index] * Math.exp(this.tuning.reportGain() * (1 - load));
	}

	private void applyReports(Map<String, ServerLoad> loads, double[] weightFractions, long nowMs) {
		double reportedTokens = 0;
		double poolTokensPerS = 0;
		double reportingTokensPerS = 0;
		double totalOwnTokens = 0;
		for (int index = 0; index < this.pool.size(); index++) {
			this.tokensPerS[index] = this.pool.spec(index).tokensPerS() * weightFractions[index];
			poolTokensPerS += this.tokensPerS[index];
			totalOwnTokens += this.ownTokens[index];
			ServerLoad load = loads.get(this.pool.id(index));
			this.reportedDeviations[index] = Double.NaN;
			if (load != null) {
				applyReport(index, load);
				reportedTokens += load.outstandingTokens();
				reportingTokensPerS += this.tokensPerS[index];
			}
		}
		this.meanLoadS = Math.max(MIN_MEAN_LOAD_S,
				(reportingTokensPerS > 0) ? reportedTokens / reportingTokensPerS : 0);
		this.totalTokensPerS = Math.max(1, poolTokensPerS);
		this.ownMeanLoadS = totalOwnTokens / this.totalTokensPerS;
		for (int index = 0; index < this.pool.size(); index++) {
			double ageMs = Math.max(0, nowMs - this.reportedAtMs[index]);
			double deviation = Double.isNaN(this.reportedDeviations[index]) ? 0
					: this.reportedDeviations[index] / this.tokensPerS[index] / this.meanLoadS - 1;
			this.reportedDeviations[index] = deviation * Math.exp(-ageMs / this.tuning.turnoverMs());
		}
	}

	private void applyReport(int index, ServerLoad load) {
		if (load.reportedAtMs() != this.reportedAtMs[index]) {
			this.reportedAtMs[index] = load.reportedAtMs();
			this.ownRequestsSinceReport[index] = 0;
		}
		this.reportedDeviations[index] = load.outstandingTokens();
		this.reportedRequests[index] = load.runningRequests();
	}

	private void decayOwnWork(long nowMs) {
		double factor = Math.exp(-Math.max(0, nowMs - this.decayedAtMs) / this.tuning.turnoverMs());
		this.decayedAtMs = Math.max(this.decayedAtMs, nowMs);
		if (factor == 1) {
			return;
		}
		this.ownMeanLoadS *= factor;
		for (int index = 0; index < this.ownTokens.length; index++) {
			this.ownTokens[index] *= factor;
		}
	}

	/**
	 * Returns the estimated load of a server relative to the mean.
	 * @param index the server
	 * @return the load, where 1 is the mean
	 */
	double relativeLoad(int index) {
		return this.relativeLoads[index];
	}

	/**
	 * Returns the weight of a server in the hash, which follows its speed and falls with
	 * its estimated load.
	 * @param index the server
	 * @return the weight
	 */
	double weight(int index) {
		return this.weights[index];
	}

	/**
	 * Returns what a request adds to the relative load of a server.
	 * @param index the server
	 * @param tokens the tokens to prefill and to generate
	 * @return the added load, where 1 is the mean load
	 */
	double addedLoad(int index, double tokens) {
		return tokens / this.tokensPerS[index] / this.meanLoadS;
	}

	/**
	 * Returns the mean load of the pool.
	 * @return the mean in seconds of work
	 */
	double meanLoadS() {
		return this.meanLoadS;
	}

	/**
	 * Tells whether a server batches as many requests as it can, as far as this router
	 * knows.
	 * @param index the server
	 * @return whether the server is at its limit
	 */
	boolean isAtRequestLimit(int index) {
		boolean isFresh = this.refreshedAtMs - this.reportedAtMs[index] <= MAX_REPORT_AGE_MS;
		int recentRequests = isFresh ? this.reportedRequests[index] + this.ownRequestsSinceReport[index] : 0;
		int requests = Math.max(this.ownRequests[index], recentRequests);
		return requests >= this.pool.spec(index).maxRunningRequests();
	}

	void placed(int index, double tokens) {
		this.ownTokens[index] += tokens;
		this.ownRequests[index]++;
		this.ownRequestsSinceReport[index]++;
		this.ownMeanLoadS += tokens / this.totalTokensPerS;
		updateEstimate(index);
	}

	void finished(int index) {
		this.ownRequests[index] = Math.max(0, this.ownRequests[index] - 1);
		this.ownRequestsSinceReport[index] = Math.max(0, this.ownRequestsSinceReport[index] - 1);
	}

}
