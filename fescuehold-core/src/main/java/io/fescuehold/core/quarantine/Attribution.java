package io.fescuehold.core.quarantine;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Features of requests to which crashes are attributed: prompt parts, or one request as a
 * whole. A request is known to crash servers only if it has all of them, because the
 * crashes do not tell them apart.
 *
 * @param service the service whose servers crashed
 * @param features the ids of the features
 * @param serverIds the servers that crashed, in the order of time
 * @param crashedAtMs the times of the crashes in milliseconds of the daemon's clock,
 * ascending
 * @param ambiguous whether others explain the same crashes as well
 */
public record Attribution(String service, Set<String> features, List<String> serverIds, List<Long> crashedAtMs,
		boolean ambiguous) {

	/** Long compared with a restart of a server and with the retries of one caller. */
	static final long FIRST_HOLD_MS = 60_000;

	/**
	 * The hold while others explain the same crashes. The next trial of each tells the
	 * innocent ones from the one that is to blame.
	 */
	static final long AMBIGUOUS_HOLD_MS = 5_000;

	/** The maximum time between two trials. */
	static final long MAX_HOLD_MS = 960_000;

	private static final int MAX_DOUBLINGS = 4;

	/**
	 * Checks the arguments and copies the collections.
	 */
	public Attribution {
		Objects.requireNonNull(service, "service");
		features = Set.copyOf(features);
		serverIds = List.copyOf(serverIds);
		crashedAtMs = List.copyOf(crashedAtMs);
	}

	/**
	 * Returns whether one request is to blame, wherever it comes again.
	 * @return whether the feature is a request as a whole
	 */
	public boolean isRequest() {
		return this.features.stream().anyMatch(RequestIdentity::isRequest);
	}

	/**
	 * Returns when the features may be tried again. The time since the last crash doubles
	 * with each trial that crashed a server.
	 * @return the time in milliseconds of the daemon's clock
	 */
	public long heldUntilMs() {
		if (this.ambiguous) {
			return this.crashedAtMs.getLast() + AMBIGUOUS_HOLD_MS;
		}
		int failedTrials = 0;
		for (int index = 1; index < this.crashedAtMs.size(); index++) {
			failedTrials += (this.crashedAtMs.get(index) - this.crashedAtMs.get(index - 1) >= FIRST_HOLD_MS) ? 1 : 0;
		}
		long holdMs = Math.min(MAX_HOLD_MS, FIRST_HOLD_MS << Math.min(failedTrials, MAX_DOUBLINGS));
		return this.crashedAtMs.getLast() + holdMs;
	}

}
