package io.fescuehold.core.servers;

/**
 * The health of a server as its answers show it. Health checks are not consulted, because
 * a server can fail part of its requests while its check passes. A server that cannot be
 * reached is left out for a time that doubles with each failure; a server that fails
 * requests gets fewer of them in proportion. A silent server counts as one that cannot be
 * reached, because its open connections do not show that it is gone.
 */
public final class ServerHealth {

	/** Half a second covers a restart of most processes' listeners. */
	static final long FIRST_PAUSE_MS = 400;

	/** A server that is back is found within this time. */
	static final long LONGEST_PAUSE_MS = 3_200;

	/** A rejecting server had its queue full a moment ago. */
	static final long REJECTED_PAUSE_MS = 60;

	/** The list names an instance that is gone for some seconds longer. */
	static final long REPLACED_PAUSE_MS = 8_000;

	/** The weight of the newest answer; the last ten or so answers count. */
	static final double NEWEST_WEIGHT = 0.15;

	/** The time in milliseconds in which a failure rate without new answers halves. */
	static final long HALF_LIFE_MS = 4_000;

	private static final int MAX_DOUBLINGS = 3;

	private double failureRate;

	private long ratedMs;

	private long pausedUntilMs = Long.MIN_VALUE;

	private int unreachable;

	/**
	 * Records an answer.
	 * @param outcome the answer
	 * @param nowMs the time in milliseconds
	 */
	public void record(ServerOutcome outcome, long nowMs) {
		switch (outcome) {
			case SERVED -> {
				this.unreachable = 0;
				rate(0, nowMs);
			}
			case FAILED -> rate(1, nowMs);
			case REJECTED -> this.pausedUntilMs = Math.max(this.pausedUntilMs, nowMs + REJECTED_PAUSE_MS);
			case REPLACED -> this.pausedUntilMs = nowMs + REPLACED_PAUSE_MS;
			case UNREACHABLE, SILENT -> {
				long pauseMs = FIRST_PAUSE_MS << Math.min(this.unreachable, MAX_DOUBLINGS);
				this.unreachable++;
				this.pausedUntilMs = nowMs + Math.min(pauseMs, LONGEST_PAUSE_MS);
				rate(1, nowMs);
			}
		}
	}

	/**
	 * Returns whether requests may be sent to the server.
	 * @param nowMs the time in milliseconds
	 * @return whether it is not paused
	 */
	public boolean isUsable(long nowMs) {
		return nowMs >= this.pausedUntilMs;
	}

	/**
	 * Returns the portion of requests that the server fails.
	 * @param nowMs the time in milliseconds
	 * @return a number from 0 to 1
	 */
	public double failureRate(long nowMs) {
		return this.failureRate * Math.pow(0.5, (nowMs - this.ratedMs) / (double) HALF_LIFE_MS);
	}

	private void rate(double failed, long nowMs) {
		this.failureRate = failureRate(nowMs) * (1 - NEWEST_WEIGHT) + failed * NEWEST_WEIGHT;
		this.ratedMs = nowMs;
	}

}
