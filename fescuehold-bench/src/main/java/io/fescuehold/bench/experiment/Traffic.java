package io.fescuehold.bench.experiment;

import java.util.SplittableRandom;

/**
 * Draws the sizes, pauses and arrivals of chats.
 */
final class Traffic {

	private static final double SIGMA = 0.7;

	private static final double PAUSE_SIGMA = 1;

	private static final double MS_PER_S = 1_000;

	private static final double SURGE_FACTOR = 5;

	private static final double SURGE_TEAM_PORTION = 0.1;

	private static final double SURGE_FROM = 0.7;

	private static final double SURGE_TO = 0.8;

	private final Deployment deployment;

	private final SplittableRandom random;

	private final long lengthMs;

	private long chats;

	Traffic(Deployment deployment, long seed, int seconds) {
		this.deployment = deployment;
		this.random = new SplittableRandom(seed);
		this.lengthMs = (long) (seconds * MS_PER_S);
	}

	/**
	 * Returns the pause until the next new chat. One team of a tenth of the traffic
	 * surges for a while in the measured half.
	 * @param nowMs the time in milliseconds
	 * @return the pause in milliseconds
	 */
	double nextArrivalMs(double nowMs) {
		double position = nowMs / this.lengthMs;
		boolean isSurge = position >= SURGE_FROM && position < SURGE_TO;
		double factor = isSurge ? 1 + SURGE_TEAM_PORTION * (SURGE_FACTOR - 1) : 1;
		double ratePerMs = factor * this.deployment.requestsPerS() / this.deployment.turns() / MS_PER_S;
		return -Math.log(1 - this.random.nextDouble()) / ratePerMs;
	}

	FakeChat newChat() {
		int first = this.random.nextInt(this.deployment.routers());
		int second = (first + 1 + this.random.nextInt(this.deployment.routers() - 1)) % this.deployment.routers();
		int turns = 1 + (int) (Math.log(1 - this.random.nextDouble()) / Math.log(1 - 1 / this.deployment.turns()));
		this.chats++;
		return new FakeChat("chat-" + this.chats + "-" + this.random.nextInt(Integer.MAX_VALUE), first, second, turns);
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
		return chat.historyTokens() + Math.max(1, Math.round(logNormal(median, SIGMA)));
	}

	long outputTokens() {
		double median = this.deployment.outputTokens() / Math.exp(SIGMA * SIGMA / 2);
		return Math.clamp(Math.round(logNormal(median, SIGMA)), 1, 4 * Math.round(this.deployment.outputTokens()));
	}

	boolean hasHint() {
		return this.random.nextInt(10) != 0;
	}

	int startingChats() {
		double meanPauseS = this.deployment.pauseS() * Math.exp(PAUSE_SIGMA * PAUSE_SIGMA / 2);
		return (int) (this.deployment.requestsPerS() * meanPauseS);
	}

	private double logNormal(double median, double sigma) {
		return median * Math.exp(sigma * this.random.nextGaussian());
	}

}
