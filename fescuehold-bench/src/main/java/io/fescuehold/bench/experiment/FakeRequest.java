package io.fescuehold.bench.experiment;

import io.fescuehold.core.placement.PlacementRequest;

/**
 * A request that a {@link FakeServer} has accepted.
 */
final class FakeRequest {

	private final String serverId;

	private final FakeChat chat;

	private final PlacementRequest request;

	private final long cachedTokens;

	private double remainingPrefillTokens;

	private double remainingOutputTokens;

	private final double outputTokens;

	private final long startsAtMs;

	FakeRequest(String serverId, FakeChat chat, PlacementRequest request, long cachedTokens, double outputTokens,
			long startsAtMs) {
		this.serverId = serverId;
		this.chat = chat;
		this.request = request;
		this.cachedTokens = cachedTokens;
		this.remainingPrefillTokens = request.promptTokens() - cachedTokens;
		this.remainingOutputTokens = outputTokens;
		this.outputTokens = outputTokens;
		this.startsAtMs = startsAtMs;
	}

	double outstandingTokens() {
		return this.remainingPrefillTokens + this.remainingOutputTokens;
	}

	double prefill(double budgetTokens) {
		double prefilledTokens = Math.min(budgetTokens, this.remainingPrefillTokens);
		this.remainingPrefillTokens -= prefilledTokens;
		return prefilledTokens;
	}

	double generate(double tokens) {
		double generatedTokens = Math.min(tokens, this.remainingOutputTokens);
		this.remainingOutputTokens -= generatedTokens;
		return generatedTokens;
	}

	boolean isPrefilled() {
		return this.remainingPrefillTokens <= 0;
	}

	boolean isDone() {
		return this.remainingPrefillTokens <= 0 && this.remainingOutputTokens <= 0;
	}

	boolean hasStarted(long nowMs) {
		return nowMs >= this.startsAtMs;
	}

	String serverId() {
		return this.serverId;
	}

	FakeChat chat() {
		return this.chat;
	}

	PlacementRequest request() {
		return this.request;
	}

	long cachedTokens() {
		return this.cachedTokens;
	}

	long totalTokens() {
		return this.request.promptTokens() + Math.round(this.outputTokens);
	}

}
