package io.fescuehold.runtime.gateway;

import java.util.HashSet;
import java.util.Set;

/**
 * What the copies of one request share: the servers that were tried, how many of them
 * count towards the route's limit, and whether one may have run the request. Not
 * thread-safe: confined to one thread.
 */
final class AttemptTally {

	private final Set<String> tried = new HashSet<>();

	/** The attempts that may have run the request, or still may. */
	private int attempts;

	/** Whether there is a second copy. */
	private boolean copied;

	private boolean mayHaveRun;

	AttemptTally(int attempts) {
		this.attempts = attempts;
	}

	Set<String> tried() {
		return this.tried;
	}

	int attempts() {
		return this.attempts;
	}

	void add(int difference) {
		this.attempts += difference;
	}

	/**
	 * Records that a second copy begins.
	 * @param firstSent whether the first one has been sent and not been rejected
	 */
	void secondCopyBegins(boolean firstSent) {
		this.copied = true;
		this.mayHaveRun |= firstSent;
	}

	/**
	 * Records that a copy is being sent. Neither copy can then say that the request has
	 * not run because its own server did not run it.
	 */
	void sent() {
		this.mayHaveRun |= this.copied;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void ran() {
		this.mayHaveRun = true;
	}

}
