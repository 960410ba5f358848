package io.fescuehold.bench.experiment;

import io.fescuehold.core.placement.ChatHint;

/**
 * A chat that returns after pauses.
 */
final class FakeChat {

	private final String id;

	private final int firstRouter;

	private final int secondRouter;

	private long historyTokens;

	private int turnsLeft;

	private ChatHint hint;

	FakeChat(String id, int firstRouter, int secondRouter, int turns) {
		this.id = id;
		this.firstRouter = firstRouter;
		this.secondRouter = secondRouter;
		this.turnsLeft = turns;
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
	 * Notes a response.
	 * @param totalTokens the tokens of the chat now
	 * @param newHint the hint of the response
	 * @return whether the chat goes on
	 */
	boolean served(long totalTokens, ChatHint newHint) {
		this.historyTokens = totalTokens;
		this.hint = newHint;
		this.turnsLeft--;
		return this.turnsLeft > 0;
	}

}
