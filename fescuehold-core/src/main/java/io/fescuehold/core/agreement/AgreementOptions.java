package io.fescuehold.core.agreement;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Options of one replica.
 *
 * @param group the name of the agreement group
 * @param self the identity of this replica
 * @param initialHostIds the hosts that form the group when all stores are empty
 * @param failureDomains the failure domain of each known host by host id
 * @param timing the timing parameters
 * @param keepEntries the number of entries before a snapshot that stay in the log for
 * followers that are slightly behind
 * @param maxBatchBytes the size in bytes above which no further entry is added to a
 * message, and the size of a snapshot chunk
 * @param maxLogBytes the size in bytes of the entries applied since the last snapshot at
 * which the next one is taken; entries of up to a quarter of this size are kept before
 * the snapshot
 * @param maxInFlightEntries the number of entries that are sent to a follower before it
 * has acknowledged them, and that a leader accepts before they are committed and durable
 */
public record AgreementOptions(String group, ReplicaId self, List<String> initialHostIds,
		Map<String, String> failureDomains, AgreementTiming timing, int keepEntries, int maxBatchBytes,
		long maxLogBytes, int maxInFlightEntries) {

	/** The default of {@link #keepEntries()}. */
	public static final int DEFAULT_KEEP_ENTRIES = 1_000;

	/** The default of {@link #maxBatchBytes()}, well below the largest frame of 8 MiB. */
	public static final int DEFAULT_MAX_BATCH_BYTES = 1 << 20;

	/**
	 * The default of {@link #maxLogBytes()}, a part of the 128 MB available to a daemon.
	 */
	public static final long DEFAULT_MAX_LOG_BYTES = 16L << 20;

	/** The default of {@link #maxInFlightEntries()}. */
	public static final int DEFAULT_MAX_IN_FLIGHT_ENTRIES = 4_096;

	/**
	 * Checks the arguments and copies the collections.
	 */
	public AgreementOptions {
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(self, "self");
		Objects.requireNonNull(timing, "timing");
		initialHostIds = initialHostIds.stream().distinct().sorted().toList();
		failureDomains = Map.copyOf(failureDomains);
		if (keepEntries < 0 || maxBatchBytes < 1 || maxLogBytes < 1 || maxInFlightEntries < 1) {
			throw new IllegalArgumentException("keepEntries must not be negative, maxBatchBytes, maxLogBytes and"
					+ " maxInFlightEntries must be positive");
		}
	}

	String failureDomain(String hostId) {
		return this.failureDomains.getOrDefault(hostId, hostId);
	}

}
