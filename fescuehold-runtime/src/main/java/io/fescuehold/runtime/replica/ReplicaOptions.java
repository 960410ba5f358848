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
 * @param dataFolder the data folder of the process; the store is kept in a folder of it
 * @param initialHostIds the hosts that form the group when all their stores are empty
 * @param failureDomains the failure domain of each known host by host id
 * @param timing the times
 */
public record ReplicaOptions(String group, String hostId, Path dataFolder, List<String> initialHostIds,
		Map<String, String> failureDomains, AgreementTiming timing) {

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
	 * Returns the folder of the store.
	 * @return the folder
	 */
	public Path storeFolder() {
		return this.dataFolder.resolve("agreement").resolve(URLEncoder.encode(this.group, StandardCharsets.UTF_8));
	}

}
