package io.fescuehold.daemon.settings;

import java.util.List;

/**
 * The initial members of a share's agreement group. Later membership changes are stored
 * in the group's log and do not change the settings.
 *
 * @param share the name of the share
 * @param replicaHostIds the hosts of the initial replicas, an odd number
 */
public record ShareSettings(String share, List<String> replicaHostIds) {

	public ShareSettings {
		SettingsChecks.required("share", share);
		SettingsChecks.required("replicaHostIds", replicaHostIds);
		replicaHostIds = List.copyOf(replicaHostIds);
		if (replicaHostIds.size() % 2 == 0) {
			throw SettingsChecks.invalid("replicaHostIds", "has " + replicaHostIds.size()
					+ " hosts; list an odd number of hosts, such as 3, so that a majority exists after a loss");
		}
		if (replicaHostIds.stream().distinct().count() != replicaHostIds.size()) {
			throw SettingsChecks.invalid("replicaHostIds", "lists a host twice; list each host once");
		}
	}

}
