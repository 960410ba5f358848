package io.fescuehold.core.quarantine;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Prompt parts to which crashes are attributed. A prompt is known to crash servers only
 * if it contains all of them, because the crashes do not tell them apart.
 *
 * @param service the service whose servers crashed
 * @param parts the ids of the parts
 * @param serverIds the servers that crashed, in the order of time
 * @param crashedAtMs the times of the crashes in milliseconds of the daemon's clock,
 * ascending
 */
public record Attribution(String service, Set<String> parts, List<String> serverIds, List<Long> crashedAtMs) {

	/** Long compared with a restart of a server and with the retries of one caller. */
	static final long FIRST_HOLD_MS = 60_000;

	/** The maximum time between two trials. */
	static final long MAX_HOLD_MS = 960_000;

	private static final int MAX_DOUBLINGS = 4;

	/**
	 * Checks the arguments and copies the collections.
	 */
	public Attribution {
		Objects.requireNonNull(service, "service");
		parts = Set.copyOf(parts);
		serverIds = List.copyOf(serverIds);
		crashedAtMs = List.copyOf(crashedAtMs);
	}

	/**
	 * Returns when the parts may be tried again. The time since the last crash doubles
	 * with each trial that crashed a server.
	 * @return the time in milliseconds of the daemon's clock
	 */
	public long heldUntilMs() {
		int failedTrials = 0;
		for (int index = 1; index < this.crashedAtMs.size(); index++) {
			failedTrials += (this.crashedAtMs.get(index) - this.crashedAtMs.get(index - 1) >= FIRST_HOLD_MS) ? 1 : 0;
		}
		long holdMs = Math.min(MAX_HOLD_MS, FIRST_HOLD_MS << Math.min(failedTrials, MAX_DOUBLINGS));
		return this.crashedAtMs.getLast() + holdMs;
	}

}
