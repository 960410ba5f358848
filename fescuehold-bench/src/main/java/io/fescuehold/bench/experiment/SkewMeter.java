package io.fescuehold.bench.experiment;

import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Samples the load of the servers over the mean.
 */
final class SkewMeter {

	private static final double SCALE = 10_000;

	private static final long MAX = 1_000_000;

	private static final double P99 = 99;

	private final Histogram ratios = new Histogram(MAX, 3);

	private final double bound;

	private long above;

	private double tokens;

	private long samples;

	SkewMeter(double bound) {
		this.bound = bound;
	}

	void sample(List<FakeServer> servers, long nowMs) {
		double total = 0;
		double speed = 0;
		int counted = 0;
		for (FakeServer server : servers) {
			if (server.isCounted()) {
				double serverSpeed = server.tokensPerS();
				total += server.loadS() * serverSpeed;
				speed += serverSpeed;
				counted++;
			}
		}
		double meanS = total / speed;
		if (counted == 0 || meanS <= 0) {
			return;
		}
		for (FakeServer server : servers) {
			if (server.isCounted()) {
				double ratio = server.loadS() / meanS;
				this.ratios.recordValue(Math.min(MAX, Math.round(ratio * SCALE)));
				this.above += (ratio > this.bound) ? 1 : 0;
			}
		}
		this.tokens += total / counted;
		this.samples++;
	}

	double worst() {
		return this.ratios.getMaxValue() / SCALE;
	}

	double p99() {
		return this.ratios.getValueAtPercentile(P99) / SCALE;
	}

	double aboveBound() {
		return (double) this.above / Math.max(1, this.ratios.getTotalCount());
	}

	double meanTokens() {
		return this.tokens / Math.max(1, this.samples);
	}

}
