package io.fescuehold.core.drain;

/**
 * The graceful shutdown of a host: it is removed from the entry answers, continues to
 * serve until the last answer that names it has expired, then refuses new requests,
 * finishes those in flight and stops. It never stops while a request is in flight. Since
 * no request is accepted after the last answer has expired and every request has a
 * deadline, the shutdown ends by {@link #latestStopMs(long)}.
 */
public final class DrainSchedule {

	private final long startedAtMs;

	private final long lastAnswerExpiresAtMs;

	/**
	 * Starts a shutdown.
	 * @param startedAtMs the time in milliseconds at which the host announces the
	 * shutdown
	 * @param entryValidMs the longest validity of an entry answer, in milliseconds
	 * @param hostListLagMs the time in milliseconds for which other hosts may still name
	 * this host because their host list is outdated
	 */
	public DrainSchedule(long startedAtMs, long entryValidMs, long hostListLagMs) {
		this.startedAtMs = startedAtMs;
		this.lastAnswerExpiresAtMs = startedAtMs + hostListLagMs + entryValidMs;
	}

	/**
	 * Returns the phase of the shutdown.
	 * @param inFlight the number of requests in flight
	 * @param nowMs the time in milliseconds
	 * @return the phase
	 */
	public Phase phase(int inFlight, long nowMs) {
		if (nowMs < this.lastAnswerExpiresAtMs) {
			return Phase.ENTRY_REMOVED;
		}
		return (inFlight > 0) ? Phase.FINISHING : Phase.STOPPABLE;
	}

	/**
	 * Returns when the last entry answer that names this host has expired.
	 * @return the time in milliseconds
	 */
	public long lastAnswerExpiresAtMs() {
		return this.lastAnswerExpiresAtMs;
	}

	/**
	 * Returns the latest time at which the shutdown ends.
	 * @param longestDeadlineMs the longest time in milliseconds that a request may take
	 * @return the time in milliseconds at which every request has ended
	 */
	public long latestStopMs(long longestDeadlineMs) {
		return this.lastAnswerExpiresAtMs + longestDeadlineMs;
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
