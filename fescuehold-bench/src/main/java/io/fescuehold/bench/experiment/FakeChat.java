package io.fescuehold.bench.experiment;

import io.fescuehold.core.placement.ChatHint;

/**
 * A chat of several turns with pauses between them.
 */
final class FakeChat {

	private final String id;

	private final int firstRouter;

	private final int secondRouter;

	private long historyTokens;

	private int remainingTurns;

	private ChatHint hint;

	FakeChat(String id, int firstRouter, int secondRouter, int turns) {
		this.id = id;
		this.firstRouter = firstRouter;
		this.secondRouter = secondRouter;
		this.remainingTurns = turns;
	}

	String id() {
		return this.id;
	}

	int firstRouter() {
		return this.firstRouter;
	}

	int secondRouter() {
		return this.secondRouter;
	}

	long historyTokens() {
		return this.historyTokens;
	}

	ChatHint hint() {
		return this.hint;
	}

	/**
	 * Records the response to a turn.
	 * @param totalTokens the size of the chat including the response
	 * @param responseHint the placement hint returned with the response
	 * @return whether the chat has turns left
	 */
	boolean recordResponse(long totalTokens, ChatHint responseHint) {
		this.historyTokens = totalTokens;
		this.hint = responseHint;
		this.remainingTurns--;
		return this.remainingTurns > 0;
	}

}
