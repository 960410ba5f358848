package io.fescuehold.runtime.replica;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.fescuehold.core.agreement.AgreementTiming;

/**
 * Options of a replica.
 *
 * @param group the name of the agreement group, which is the name of the share
 * @param hostId the own host id
 * @param dataFolder the data folder of the process; the store is kept in a subfolder
 * @param initialHostIds the hosts that form the group when all their stores are empty
 * @param failureDomains the failure domain of each known host by host id
 * @param timing the heartbeat interval, election timeout and lease duration
 * @param silentSinceMs a time in milliseconds on the replica's clock since which this
 * replica is known not to have acknowledged anything, for example the start of the
 * process, or {@link #REPLICA_START_MS} for the start of the replica
 */
public record ReplicaOptions(String group, String hostId, Path dataFolder, List<String> initialHostIds,
		Map<String, String> failureDomains, AgreementTiming timing, long silentSinceMs) {

	/** The value of {@link #silentSinceMs()} that stands for the start of the replica. */
	public static final long REPLICA_START_MS = Long.MAX_VALUE;

	/**
	 * Checks the arguments and copies the collections.
	 */
	public ReplicaOptions {
		Objects.requireNonNull(group, "group");
		Objects.requireNonNull(hostId, "hostId");
		Objects.requireNonNull(dataFolder, "dataFolder");
		Objects.requireNonNull(timing, "timing");
		initialHostIds = List.copyOf(initialHostIds);
		failureDomains = Map.copyOf(failureDomains);
	}

	/**
	 * Creates options of a replica that starts with its process.
	 * @param group the name of the agreement group
	 * @param hostId the own host id
	 * @param dataFolder the data folder of the process
	 * @param initialHostIds the hosts that form the group when all their stores are empty
	 * @param failureDomains the failure domain of each known host by host id
	 * @param timing the heartbeat interval, election timeout and lease duration
	 */
	public ReplicaOptions(String group, String hostId, Path dataFolder, List<String> initialHostIds,
			Map<String, String> failureDomains, AgreementTiming timing) {
		this(group, hostId, dataFolder, initialHostIds, failureDomains, timing, REPLICA_START_MS);
	}

	/**
	 * Returns the folder of the store.
	 * @return the folder
	 */
	public Path storeFolder() {
		return storeFolder(this.dataFolder, this.group);
	}

	/**
	 * Returns the folder of the store of a group.
	 * @param dataFolder the folder of the host's data
	 * @param group the name of the group
	 * @return the folder
	 */
	public static Path storeFolder(Path dataFolder, String group) {
		return dataFolder.resolve("agreement").resolve(URLEncoder.encode(group, StandardCharsets.UTF_8));
	}

}
