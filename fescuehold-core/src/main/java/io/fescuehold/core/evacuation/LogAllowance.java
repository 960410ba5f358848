package io.fescuehold.core.evacuation;

/**
 * Bounds the log lines on orders: a few at once, and then one a second, so that a flood
 * of orders does not flood the log. Not thread-safe: confined to one thread.
 */
public final class LogAllowance {

	private static final long MAX_LINES = 5;

	private static final long REFILL_MS = 1_000;

	private long lines = MAX_LINES;

	private long refilledAtMs = Long.MIN_VALUE;

	private long dropped;

	/**
	 * Takes one line from the allowance.
	 * @param nowMs the time in milliseconds
	 * @return whether the line may be logged
	 */
	public boolean tryAcquire(long nowMs) {
		if (this.lines == MAX_LINES) {
			this.refilledAtMs = nowMs;
		}
		long refills = Math.min(MAX_LINES - this.lines, (nowMs - this.refilledAtMs) / REFILL_MS);
		this.lines += refills;
		this.refilledAtMs += refills * REFILL_MS;
		if (this.lines == 0) {
			this.dropped++;
			return false;
		}
		this.lines--;
		return true;
	}

	/**
	 * Returns and clears the number of lines that were not logged.
	 * @return the number since the last call
	 */
	public long takeDropped() {
		long taken = this.dropped;
		this.dropped = 0;
		return taken;
	}

}
