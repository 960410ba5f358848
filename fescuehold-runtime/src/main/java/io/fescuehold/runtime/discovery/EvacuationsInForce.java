package io.fescuehold.runtime.discovery;

import java.util.function.LongSupplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.evacuation.LogAllowance;

/**
 * The evacuations of failure domains that this daemon obeys. Not thread-safe: confined to
 * one thread.
 */
final class EvacuationsInForce {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final FleetListener listener;

	private final LongSupplier clockMs;

	private final LogAllowance logAllowance = new LogAllowance();

	private Evacuations current = Evacuations.NONE;

	/**
	 * Creates a view without evacuations.
	 * @param listener the listener that puts evacuations in force
	 * @param clockMs the clock in milliseconds
	 */
	EvacuationsInForce(FleetListener listener, LongSupplier clockMs) {
		this.listener = listener;
		this.clockMs = clockMs;
	}

	Evacuations current() {
		return this.current;
	}

	long revision() {
		return this.current.revision();
	}

	/**
	 * Puts committed evacuations in force, unless they are unknown or not newer.
	 * @param committed the evacuations, or null if they are unknown
	 * @param source where they came from, for the log
	 */
	void take(Evacuations committed, String source) {
		if (committed == null || committed.revision() <= this.current.revision()) {
			return;
		}
		this.listener.onEvacuations(committed);
		if (this.logAllowance.tryAcquire(this.clockMs.getAsLong())) {
			logger.atInfo()
				.log("Evacuations %d from %s replace evacuations %d: failure domains %s, previously %s; %d lines dropped",
						committed.revision(), source, this.current.revision(), committed.domains(),
						this.current.domains(), this.logAllowance.takeDropped());
		}
		this.current = committed;
	}

	/**
	 * Returns the evacuations if another daemon does not know them yet.
	 * @param known the evacuations that may be sent
	 * @param pull the last message of the other daemon
	 * @return the evacuations, or null if it holds them or runs an earlier version
	 */
	static Evacuations ifNewer(Evacuations known, SyncMessage.Pull pull) {
		boolean newer = pull.evacuationsRevision() != null && pull.evacuationsRevision() < known.revision();
		return newer ? known : null;
	}

}
