package io.fescuehold.bench.experiment;

import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Samples the load skew: the ratio of a server's load to the mean load.
 */
final class SkewMeter {

	private static final double RATIO_SCALE = 10_000;

	private static final long MAX_SCALED_RATIO = 1_000_000;

	private static final double P99 = 99;

	private final Histogram ratios = new Histogram(MAX_SCALED_RATIO, 3);

	private final double loadBound;

	private long aboveBoundCount;

	private double meanTokensSum;

	private long samples;

	SkewMeter(double loadBound) {
		this.loadBound = loadBound;
	}

	void sample(List<FakeServer> servers, long nowMs) {
		double totalTokens = 0;
		double totalTokensPerS = 0;
		int countedServers = 0;
		for (FakeServer server : servers) {
			if (server.isCountedInSkew()) {
				double tokensPerS = server.tokensPerS();
				totalTokens += server.loadS() * tokensPerS;
				totalTokensPerS += tokensPerS;
				countedServers++;
			}
		}
		double meanS = totalTokens / totalTokensPerS;
		if (countedServers == 0 || meanS <= 0) {
			return;
		}
		for (FakeServer server : servers) {
			if (server.isCountedInSkew()) {
				double ratio = server.loadS() / meanS;
				this.ratios.recordValue(Math.min(MAX_SCALED_RATIO, Math.round(ratio * RATIO_SCALE)));
				this.aboveBoundCount += (ratio > this.loadBound) ? 1 : 0;
			}
		}
		this.meanTokensSum += totalTokens / countedServers;
		this.samples++;
	}

	double max() {
		return this.ratios.getMaxValue() / RATIO_SCALE;
	}

	double p99() {
		return this.ratios.getValueAtPercentile(P99) / RATIO_SCALE;
	}

	double aboveBoundFraction() {
		return (double) this.aboveBoundCount / Math.max(1, this.ratios.getTotalCount());
	}

	double meanTokens() {
		return this.meanTokensSum / Math.max(1, this.samples);
	}

}
