package io.fescuehold.core.drain;

/**
 * The graceful shutdown of a host: it is removed from the entry answers, continues to
 * serve until the last answer that names it has expired, then refuses new requests,
 * finishes those in flight and stops. From the beginning it refuses requests whose
 * deadline lies after the time at which the process has to stop; those that were taken
 * before and are still open then get a final answer.
 */
public final class DrainSchedule {

	private final long startedAtMs;

	private final long lastAnswerExpiresAtMs;

	private final long endAtMs;

	/**
	 * Starts a shutdown of a process that may take as long as its requests.
	 * @param startedAtMs the time in milliseconds at which the host announces the
	 * shutdown
	 * @param entryValidMs the longest validity of an entry answer, in milliseconds
	 * @param hostListLagMs the time in milliseconds for which other hosts may still name
	 * this host because their host list is outdated
	 */
	public DrainSchedule(long startedAtMs, long entryValidMs, long hostListLagMs) {
		this(startedAtMs, entryValidMs, hostListLagMs, Long.MAX_VALUE);
	}

	/**
	 * Starts a shutdown of a process that will be killed.
	 * @param startedAtMs the time in milliseconds at which the host announces the
	 * shutdown
	 * @param entryValidMs the longest validity of an entry answer, in milliseconds
	 * @param hostListLagMs the time in milliseconds for which other hosts may still name
	 * this host because their host list is outdated
	 * @param endAtMs the time in milliseconds at which all requests must have ended
	 */
	public DrainSchedule(long startedAtMs, long entryValidMs, long hostListLagMs, long endAtMs) {
		this.startedAtMs = startedAtMs;
		this.lastAnswerExpiresAtMs = startedAtMs + hostListLagMs + entryValidMs;
		this.endAtMs = endAtMs;
	}

	/**
	 * Returns the phase of the shutdown.
	 * @param drained whether no request is in flight and no connection is open
	 * @param nowMs the time in milliseconds
	 * @return the phase
	 */
	public Phase phase(boolean drained, long nowMs) {
		if (nowMs < this.lastAnswerExpiresAtMs) {
			return Phase.ENTRY_REMOVED;
		}
		return drained ? Phase.STOPPABLE : Phase.FINISHING;
	}

	/**
	 * Returns whether a request is certain to end before the process has to stop. How
	 * long such requests usually take is no such certainty.
	 * @param deadlineAtMs the deadline of the request in milliseconds
	 * @return whether the request may be taken
	 */
	public boolean endsInTime(long deadlineAtMs) {
		return deadlineAtMs <= this.endAtMs;
	}

	/**
	 * Returns when all requests must have ended.
	 * @return the time in milliseconds
	 */
	public long endAtMs() {
		return this.endAtMs;
	}

	/**
	 * Returns when the last entry answer that names this host has expired.
	 * @return the time in milliseconds
	 */
	public long lastAnswerExpiresAtMs() {
		return this.lastAnswerExpiresAtMs;
	}

	/**
	 * Returns when the shutdown started.
	 * @return the time in milliseconds
	 */
	public long startedAtMs() {
		return this.startedAtMs;
	}

	/**
	 * The phases of a shutdown.
	 */
	public enum Phase {

		/** Entry answers omit the host; requests are still accepted. */
		ENTRY_REMOVED,

		/** New requests are refused; those in flight finish. */
		FINISHING,

		/** The process may stop. */
		STOPPABLE;

		/**
		 * Tells whether new requests are accepted.
		 * @return whether callers may still hold a valid entry answer
		 */
		public boolean acceptsRequests() {
			return this == ENTRY_REMOVED;
		}

	}

}
