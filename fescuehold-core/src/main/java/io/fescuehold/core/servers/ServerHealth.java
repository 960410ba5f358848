package io.fescuehold.core.servers;

/**
 * The health of a server, derived from the outcomes of its requests. Health checks are
 * not consulted, because a server can fail part of its requests while its check passes.
 * An unreachable server is excluded for a time that doubles with each failure up to a
 * limit; a server that fails requests receives proportionally fewer of them. A server
 * that does not respond counts as unreachable, because its open connections do not show
 * that it is gone.
 */
public final class ServerHealth {

	/** Most processes reopen their listeners within half a second of a restart. */
	static final long FIRST_BACKOFF_MS = 400;

	/** The limit for unreachable servers, within which a recovered one is found. */
	static final long MAX_BACKOFF_MS = 3_200;

	/** A server that rejects a request had a full queue a moment ago. */
	static final long REJECTED_BACKOFF_MS = 60;

	/** The list still names a terminated instance for some seconds. */
	static final long REPLACED_BACKOFF_MS = 8_000;

	/** The weight of the newest outcome, so that about the last ten count. */
	static final double SMOOTHING_FACTOR = 0.15;

	/** The time in which the failure rate halves without new outcomes. */
	static final long HALF_LIFE_MS = 4_000;

	/** Most servers have restarted within this time. */
	static final long RESTART_MS = 10_000;

	private static final int MAX_DOUBLINGS = 3;

	private double failureRate;

	private long failureRateUpdatedMs;

	private long backoffUntilMs = Long.MIN_VALUE;

	private int unreachableCount;

	private boolean unproven;

	private long excusedUntilMs = Long.MIN_VALUE;

	/**
	 * Records the outcome of a request.
	 * @param outcome the outcome
	 * @param nowMs the time in milliseconds
	 */
	public void record(ServerOutcome outcome, long nowMs) {
		switch (outcome) {
			case SERVED -> {
				this.excusedUntilMs = Long.MIN_VALUE;
				this.unreachableCount = 0;
				this.unproven = false;
				updateFailureRate(0, nowMs);
			}
			case FAILED -> updateFailureRate(1, nowMs);
			case REJECTED -> this.backoffUntilMs = Math.max(this.backoffUntilMs, nowMs + REJECTED_BACKOFF_MS);
			case REPLACED -> this.backoffUntilMs = nowMs + REPLACED_BACKOFF_MS;
			case UNREACHABLE, SILENT -> {
				long backoffMs = FIRST_BACKOFF_MS << Math.min(this.unreachableCount, MAX_DOUBLINGS);
				this.unreachableCount++;
				this.unproven = true;
				this.backoffUntilMs = nowMs + Math.min(backoffMs, MAX_BACKOFF_MS);
				updateFailureRate(1, nowMs);
			}
		}
	}

	/**
	 * Disregards the failures so far, and those of a restart, because a request was to
	 * blame for them. A server that cannot be reached is still excluded for a while.
	 * @param nowMs the time in milliseconds
	 */
	public void excuse(long nowMs) {
		this.excusedUntilMs = nowMs + RESTART_MS;
		this.failureRate = 0;
		this.unreachableCount = 0;
	}

	/**
	 * Returns whether requests may be sent to the server.
	 * @param nowMs the time in milliseconds
	 * @return whether the server is not excluded
	 */
	public boolean isUsable(long nowMs) {
		return nowMs >= this.backoffUntilMs;
	}

	/**
	 * Returns whether the server could not be reached and has served no request since.
	 * @return whether it may still be down although it is no longer excluded
	 */
	public boolean isUnproven() {
		return this.unproven;
	}

	/**
	 * Returns the fraction of requests that the server fails.
	 * @param nowMs the time in milliseconds
	 * @return a number from 0 to 1
	 */
	public double failureRate(long nowMs) {
		return this.failureRate * Math.pow(0.5, (nowMs - this.failureRateUpdatedMs) / (double) HALF_LIFE_MS);
	}

	private void updateFailureRate(double failed, long nowMs) {
		if (nowMs < this.excusedUntilMs) {
			return;
		}
		this.failureRate = failureRate(nowMs) * (1 - SMOOTHING_FACTOR) + failed * SMOOTHING_FACTOR;
		this.failureRateUpdatedMs = nowMs;
	}

}
