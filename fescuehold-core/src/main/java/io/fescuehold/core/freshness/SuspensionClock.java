package io.fescuehold.core.freshness;

import java.util.function.LongSupplier;

/**
 * A monotonic clock that includes the time for which the host was suspended. The
 * monotonic clock of the system stops during a suspension while the wall clock continues,
 * so if the wall clock advanced further than the monotonic clock, the difference counts
 * as a suspension. A wall clock that was set ahead counts too: time limits measured with
 * this clock then end early, never late. A wall clock that was set back is ignored.
 */
public final class SuspensionClock {

	/** More than time synchronisation corrects the wall clock between two readings. */
	static final long TOLERANCE_MS = 150;

	private final LongSupplier monotonicMs;

	private final LongSupplier wallClockMs;

	private long lastMonotonicMs;

	private long lastWallClockMs;

	private long suspendedMs;

	/**
	 * Creates a clock.
	 * @param monotonicMs the monotonic clock of the system in milliseconds
	 * @param wallClockMs the wall clock in milliseconds
	 */
	public SuspensionClock(LongSupplier monotonicMs, LongSupplier wallClockMs) {
		this.monotonicMs = monotonicMs;
		this.wallClockMs = wallClockMs;
		this.lastMonotonicMs = monotonicMs.getAsLong();
		this.lastWallClockMs = wallClockMs.getAsLong();
	}

	/**
	 * Returns the time. Frequent readings prevent a wall clock that was set back from
	 * hiding a suspension in the same interval.
	 * @return the time in milliseconds since an arbitrary origin
	 */
	public synchronized long nowMs() {
		long nowMonotonicMs = this.monotonicMs.getAsLong();
		long nowWallClockMs = this.wallClockMs.getAsLong();
		long jumpMs = (nowWallClockMs - this.lastWallClockMs) - (nowMonotonicMs - this.lastMonotonicMs);
		if (jumpMs > TOLERANCE_MS) {
			this.suspendedMs += jumpMs;
		}
		this.lastMonotonicMs = nowMonotonicMs;
		this.lastWallClockMs = nowWallClockMs;
		return nowMonotonicMs + this.suspendedMs;
	}

	/**
	 * Returns the total time that was counted as a suspension.
	 * @return the time in milliseconds
	 */
	public synchronized long suspendedMs() {
		return this.suspendedMs;
	}

}
