package io.fescuehold.core.servers;

/**
 * What a request asks of a server, as far as it is known before it runs.
 *
 * @param readTokens the tokens of the prompt, or 0 for a plain request
 * @param writeTokens the expected tokens of the response, or 0 for a plain request
 * @param urgency the rank, 0 is the most urgent
 * @param team the team, or an empty text if the request carries no key
 * @param objectiveMs the latency objective in milliseconds, for streams until the first
 * event
 * @param deadlineAtMs when the caller gives up, in milliseconds of the daemon's clock
 */
public record RequestDemand(int readTokens, int writeTokens, int urgency, String team, long objectiveMs,
		long deadlineAtMs) {

	/**
	 * Returns the tokens that the request takes in an engine's memory at its end.
	 * @return the number of tokens
	 */
	public long memoryTokens() {
		return (long) this.readTokens + this.writeTokens;
	}

	/**
	 * Returns the time that is left.
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds, negative after the deadline
	 */
	public long leftMs(long nowMs) {
		return this.deadlineAtMs - nowMs;
	}

}
