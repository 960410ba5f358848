package io.fescuehold.bench.overhead;

import org.kohsuke.args4j.Option;

/**
 * The options of {@link OverheadMain}. Values out of range are clamped.
 */
final class OverheadOptions {

	private static final int MAX_RATE_PER_S = 5_000;

	private static final int MAX_SECONDS = 60;

	@Option(name = "--rate", usage = "requests per second, at most 5,000")
	private int ratePerS = 200;

	@Option(name = "--seconds", usage = "duration of each measurement in seconds, at most 60")
	private int seconds = 10;

	@Option(name = "--tokens", usage = "tokens of each response")
	private int tokens = 20;

	int ratePerS() {
		return Math.clamp(this.ratePerS, 1, MAX_RATE_PER_S);
	}

	int seconds() {
		return Math.clamp(this.seconds, 1, MAX_SECONDS);
	}

	int tokens() {
		return Math.max(1, this.tokens);
	}

}
