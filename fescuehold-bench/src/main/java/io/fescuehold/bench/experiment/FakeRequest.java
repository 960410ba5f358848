package io.fescuehold.bench.experiment;

import io.fescuehold.core.placement.PlacementRequest;

/**
 * A request at a fake server.
 */
final class FakeRequest {

	private final String serverId;

	private final FakeChat chat;

	private final PlacementRequest request;

	private final long cachedTokens;

	private double prefillLeft;

	private double outputLeft;

	private final double outputTokens;

	private final long startsAtMs;

	FakeRequest(String serverId, FakeChat chat, PlacementRequest request, long cachedTokens, double outputTokens,
			long startsAtMs) {
		this.serverId = serverId;
		this.chat = chat;
		this.request = request;
		this.cachedTokens = cachedTokens;
		this.prefillLeft = request.promptTokens() - cachedTokens;
		this.outputLeft = outputTokens;
		this.outputTokens = outputTokens;
		this.startsAtMs = startsAtMs;
	}

	double outstanding() {
		return this.prefillLeft + this.outputLeft;
	}

	double prefill(double budget) {
		double used = Math.min(budget, this.prefillLeft);
		this.prefillLeft -= used;
		return used;
	}

	double generate(double tokens) {
		double generated = Math.min(tokens, this.outputLeft);
		this.outputLeft -= generated;
		return generated;
	}

	boolean isPrefilled() {
		return this.prefillLeft <= 0;
	}

	boolean isDone() {
		return this.prefillLeft <= 0 && this.outputLeft <= 0;
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
