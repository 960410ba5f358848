package io.fescuehold.runtime.discovery;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.evacuation.Evacuations;

/**
 * The evacuations of failure domains that this daemon obeys. Not thread-safe: confined to
 * one thread.
 */
final class EvacuationsInForce {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final FleetListener listener;

	private Evacuations current = Evacuations.NONE;

	/**
	 * Creates a view without evacuations.
	 * @param listener the listener that puts evacuations in force
	 */
	EvacuationsInForce(FleetListener listener) {
		this.listener = listener;
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
		logger.atInfo()
			.log("Evacuations %d from %s replace evacuations %d: failure domains %s, previously %s",
					committed.revision(), source, this.current.revision(), committed.domains(), this.current.domains());
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
