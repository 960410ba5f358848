package io.fescuehold.core.freshness;

import java.util.function.LongSupplier;

/**
 * A clock that never goes back and that counts the time for which the host was suspended.
 * The steady clock stands still during a suspension while the time of day goes on, so a
 * time of day that moved further ahead than the steady clock counts as a suspension. A
 * time of day that was set ahead is counted too: promises that depend on time then end
 * early, never late. A time of day that was set back is ignored.
 */
public final class SuspensionClock {

	/** Above the corrections that time synchronisation makes between two readings. */
	static final long TOLERANCE_MS = 150;

	private final LongSupplier steadyMs;

	private final LongSupplier timeOfDayMs;

	private long lastSteadyMs;

	private long lastTimeOfDayMs;

	private long suspendedMs;

	/**
	 * Creates a clock.
	 * @param steadyMs the steady clock in milliseconds
	 * @param timeOfDayMs the time of day in milliseconds
	 */
	public SuspensionClock(LongSupplier steadyMs, LongSupplier timeOfDayMs) {
		this.steadyMs = steadyMs;
		this.timeOfDayMs = timeOfDayMs;
		this.lastSteadyMs = steadyMs.getAsLong();
		this.lastTimeOfDayMs = timeOfDayMs.getAsLong();
	}

	/**
	 * Returns the time. Reading it often keeps a suspension apart from a time of day that
	 * is set back.
	 * @return the time in milliseconds since an arbitrary moment
	 */
	public synchronized long nowMs() {
		long steady = this.steadyMs.getAsLong();
		long timeOfDay = this.timeOfDayMs.getAsLong();
		long jump = (timeOfDay - this.lastTimeOfDayMs) - (steady - this.lastSteadyMs);
		if (jump > TOLERANCE_MS) {
			this.suspendedMs += jump;
		}
		this.lastSteadyMs = steady;
		this.lastTimeOfDayMs = timeOfDay;
		return steady + this.suspendedMs;
	}

	/**
	 * Returns the time that was counted as suspended.
	 * @return the time in milliseconds
	 */
	public synchronized long suspendedMs() {
		return this.suspendedMs;
	}

}
