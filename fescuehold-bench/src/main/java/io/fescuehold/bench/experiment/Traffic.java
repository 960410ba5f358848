package io.fescuehold.bench.experiment;

import java.util.SplittableRandom;

/**
 * Draws the sizes, pauses and arrivals of chats at random.
 */
final class Traffic {

	private static final double TOKENS_SIGMA = 0.7;

	private static final double PAUSE_SIGMA = 1;

	private static final double MS_PER_S = 1_000;

	private static final double SURGE_FACTOR = 5;

	private static final double SURGE_TEAM_FRACTION = 0.1;

	private static final double SURGE_FROM = 0.7;

	private static final double SURGE_TO = 0.8;

	private final Deployment deployment;

	private final SplittableRandom random;

	private final long durationMs;

	private long chatCount;

	Traffic(Deployment deployment, long seed, int seconds) {
		this.deployment = deployment;
		this.random = new SplittableRandom(seed);
		this.durationMs = (long) (seconds * MS_PER_S);
	}

	/**
	 * Returns the time until the next new chat. During a part of the measured half, a
	 * team with a tenth of the traffic sends five times as much.
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds
	 */
	double nextArrivalMs(double nowMs) {
		double position = nowMs / this.durationMs;
		boolean isSurge = position >= SURGE_FROM && position < SURGE_TO;
		double factor = isSurge ? 1 + SURGE_TEAM_FRACTION * (SURGE_FACTOR - 1) : 1;
		double ratePerMs = factor * this.deployment.requestsPerS() / this.deployment.turns() / MS_PER_S;
		return -Math.log(1 - this.random.nextDouble()) / ratePerMs;
	}

	FakeChat newChat() {
		int first = this.random.nextInt(this.deployment.routers());
		int second = (first + 1 + this.random.nextInt(this.deployment.routers() - 1)) % this.deployment.routers();
		int turns = 1 + (int) (Math.log(1 - this.random.nextDouble()) / Math.log(1 - 1 / this.deployment.turns()));
		this.chatCount++;
		return new FakeChat("chat-" + this.chatCount + "-" + this.random.nextInt(Integer.MAX_VALUE), first, second,
				turns);
	}

	int router(FakeChat chat) {
		return (this.random.nextInt(10) == 0) ? chat.secondRouter() : chat.firstRouter();
	}

	double pauseMs() {
		return MS_PER_S * logNormal(this.deployment.pauseS(), PAUSE_SIGMA);
	}

	long promptTokens(FakeChat chat) {
		double median = (chat.historyTokens() == 0) ? this.deployment.firstPromptTokens()
				: this.deployment.turnTokens();
		return chat.historyTokens() + Math.max(1, Math.round(logNormal(median, TOKENS_SIGMA)));
	}

	long outputTokens() {
		double median = this.deployment.outputTokens() / Math.exp(TOKENS_SIGMA * TOKENS_SIGMA / 2);
		return Math.clamp(Math.round(logNormal(median, TOKENS_SIGMA)), 1,
				4 * Math.round(this.deployment.outputTokens()));
	}

	boolean hasHint() {
		return this.random.nextInt(10) != 0;
	}

	int initialChats() {
		double meanPauseS = this.deployment.pauseS() * Math.exp(PAUSE_SIGMA * PAUSE_SIGMA / 2);
		return (int) (this.deployment.requestsPerS() * meanPauseS);
	}

	private double logNormal(double median, double sigma) {
		return median * Math.exp(sigma * this.random.nextGaussian());
	}

}
