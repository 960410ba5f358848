package io.fescuehold.daemon.settings;

import java.util.List;

/**
 * The agreement group of a share when it is first started. Later changes of the
 * membership are kept in the group's log and do not change the settings.
 *
 * @param share the name of the share
 * @param replicaHostIds the hosts of the first replicas, an odd number
 */
public record ShareSettings(String share, List<String> replicaHostIds) {

	public ShareSettings {
		SettingsChecks.required("share", share);
		SettingsChecks.required("replicaHostIds", replicaHostIds);
		replicaHostIds = List.copyOf(replicaHostIds);
		if (replicaHostIds.size() % 2 == 0) {
			throw SettingsChecks.refusal("replicaHostIds", "has " + replicaHostIds.size()
					+ " hosts; list an odd number of hosts, such as 3, so that a majority exists after a loss");
		}
		if (replicaHostIds.stream().distinct().count() != replicaHostIds.size()) {
			throw SettingsChecks.refusal("replicaHostIds", "lists a host twice; list each host once");
		}
	}

}
