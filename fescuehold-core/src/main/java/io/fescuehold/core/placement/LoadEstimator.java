package io.fescuehold.core.placement;

import java.util.Map;

/**
 * Estimates the load of each server of a pool relative to the mean, where 1 is the mean.
 * The estimate is the last report, which decays towards the mean with its age, and the
 * router's own recent work, which counts for the work of the other routers too. Load is
 * measured in outstanding tokens per speed.
 */
final class LoadEstimator {

	/** The running requests of an older report no longer count. */
	private static final long MAX_RUNNING_AGE_MS = 5_000;

	private static final double MIN_MEAN_S = 0.05;

	private final ServerPool pool;

	private final PlacementTuning tuning;

	private final double[] speeds;

	private final double[] reported;

	private final double[] ownTokens;

	private final int[] ownRunning;

	private final int[] running;

	private final int[] ownSinceReport;

	private final long[] reportedAtMs;

	private final double[] relative;

	private final double[] weights;

	private long refreshedAtMs = Long.MIN_VALUE / 2;

	private double totalSpeed = 1;

	private double ownScale = 1;

	private long decayedAtMs;

	private double meanS;

	private double ownMeanS;

	LoadEstimator(ServerPool pool, PlacementTuning tuning) {
		this.pool = pool;
		this.tuning = tuning;
		int size = pool.size();
		this.speeds = new double[size];
		this.reported = new double[size];
		this.ownTokens = new double[size];
		this.ownRunning = new int[size];
		this.running = new int[size];
		this.ownSinceReport = new int[size];
		this.reportedAtMs = new long[size];
		this.relative = new double[size];
		this.weights = new double[size];
		for (int index = 0; index < size; index++) {
			this.speeds[index] = pool.spec(index).tokensPerS();
		}
	}

	/**
	 * Takes over the own work of the estimator of an earlier view.
	 * @param earlier the earlier estimator
	 */
	void inherit(LoadEstimator earlier) {
		this.decayedAtMs = earlier.decayedAtMs;
		for (int index = 0; index < this.pool.size(); index++) {
			int old = earlier.pool.indexOf(this.pool.id(index));
			if (old >= 0) {
				this.ownTokens[index] = earlier.ownTokens[old];
				this.ownRunning[index] = earlier.ownRunning[old];
				this.ownSinceReport[index] = earlier.ownSinceReport[old];
				this.reportedAtMs[index] = earlier.reportedAtMs[old];
			}
		}
	}

	/**
	 * Brings the estimates up to date.
	 * @param loads the newest reports by server id
	 * @param ramps the portion of its weight that each server may receive
	 * @param routers the number of routers that share the pool
	 * @param nowMs the time in milliseconds
	 */
	void refresh(Map<String, ServerLoad> loads, double[] ramps, int routers, long nowMs) {
		decayOwn(nowMs);
		this.refreshedAtMs = nowMs;
		this.ownScale = Math.min(routers, this.tuning.ownGain());
		takeOver(loads, ramps, nowMs);
		for (int index = 0; index < this.relative.length; index++) {
			estimate(index);
		}
	}

	private void estimate(int index) {
		double ownDeviationS = this.ownTokens[index] / this.speeds[index] - this.ownMeanS;
		double load = Math.max(0, 1 + this.reported[index] + this.ownScale * ownDeviationS / this.meanS);
		this.relative[index] = load;
		this.weights[index] = this.speeds[index] * Math.exp(this.tuning.reportGain() * (1 - load));
	}

	private void takeOver(Map<String, ServerLoad> loads, double[] ramps, long nowMs) {
		double total = 0;
		double speed = 0;
		double knownSpeed = 0;
		double own = 0;
		for (int index = 0; index < this.pool.size(); index++) {
			this.speeds[index] = this.pool.spec(index).tokensPerS() * ramps[index];
			speed += this.speeds[index];
			own += this.ownTokens[index];
			ServerLoad load = loads.get(this.pool.id(index));
			this.reported[index] = Double.NaN;
			if (load != null) {
				takeOver(index, load);
				total += load.outstandingTokens();
				knownSpeed += this.speeds[index];
			}
		}
		this.meanS = Math.max(MIN_MEAN_S, (knownSpeed > 0) ? total / knownSpeed : 0);
		this.totalSpeed = Math.max(1, speed);
		this.ownMeanS = own / this.totalSpeed;
		for (int index = 0; index < this.pool.size(); index++) {
			double ageMs = Math.max(0, nowMs - this.reportedAtMs[index]);
			double deviation = Double.isNaN(this.reported[index]) ? 0
					: this.reported[index] / this.speeds[index] / this.meanS - 1;
			this.reported[index] = deviation * Math.exp(-ageMs / this.tuning.turnoverMs());
		}
	}

	private void takeOver(int index, ServerLoad load) {
		if (load.reportedAtMs() != this.reportedAtMs[index]) {
			this.reportedAtMs[index] = load.reportedAtMs();
			this.ownSinceReport[index] = 0;
		}
		this.reported[index] = load.outstandingTokens();
		this.running[index] = load.runningRequests();
	}

	private void decayOwn(long nowMs) {
		double factor = Math.exp(-Math.max(0, nowMs - this.decayedAtMs) / this.tuning.turnoverMs());
		this.decayedAtMs = Math.max(this.decayedAtMs, nowMs);
		if (factor == 1) {
			return;
		}
		this.ownMeanS *= factor;
		for (int index = 0; index < this.ownTokens.length; index++) {
			this.ownTokens[index] *= factor;
		}
	}

	/**
	 * Returns the estimated load of a server relative to the mean.
	 * @param index the server
	 * @return the load, where 1 is the mean
	 */
	double relative(int index) {
		return this.relative[index];
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
	 * @return the increase, where 1 is the mean load
	 */
	double increase(int index, double tokens) {
		return tokens / this.speeds[index] / this.meanS;
	}

	/**
	 * Returns the mean load of the pool.
	 * @return the mean in seconds of work
	 */
	double meanS() {
		return this.meanS;
	}

	/**
	 * Tells whether a server batches as many requests as it can, as far as this router
	 * knows.
	 * @param index the server
	 * @return whether the server is at its limit
	 */
	boolean isAtRequestLimit(int index) {
		boolean isFresh = this.refreshedAtMs - this.reportedAtMs[index] <= MAX_RUNNING_AGE_MS;
		int reportedRunning = isFresh ? this.running[index] + this.ownSinceReport[index] : 0;
		int estimate = Math.max(this.ownRunning[index], reportedRunning);
		return estimate >= this.pool.spec(index).maxRunningRequests();
	}

	void placed(int index, double tokens) {
		this.ownTokens[index] += tokens;
		this.ownRunning[index]++;
		this.ownSinceReport[index]++;
		this.ownMeanS += tokens / this.totalSpeed;
		estimate(index);
	}

	void finished(int index) {
		this.ownRunning[index] = Math.max(0, this.ownRunning[index] - 1);
		this.ownSinceReport[index] = Math.max(0, this.ownSinceReport[index] - 1);
	}

}
