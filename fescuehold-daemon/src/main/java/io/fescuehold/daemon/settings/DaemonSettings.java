package io.fescuehold.daemon.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * All settings of a daemon.
 *
 * @param hostId the id of this host
 * @param failureDomain the failure domain of this host
 * @param roles the roles of the daemon
 * @param dataFolder the folder for all data that must survive a restart; required by the
 * replica role, optional for routers
 * @param callers the address for callers; required by the router role
 * @param peers the address for other daemons
 * @param operators the address of the administration API
 * @param fleet all daemons, including this one
 * @param shares the shares and the hosts of their initial replicas
 * @param hostListUrl the URL of the platform's list of live and leaving hosts, or null
 * @param timing the timing of the agreement groups
 * @param seed the seed of random choices, or null to choose one at start
 */
public record DaemonSettings(String hostId, String failureDomain, List<Role> roles, String dataFolder,
		EndpointSettings callers, PeerSettings peers, OperatorSettings operators, List<FleetHostSettings> fleet,
		List<ShareSettings> shares, String hostListUrl, TimingSettings timing, Long seed) {

	public DaemonSettings {
		SettingsChecks.required("hostId", hostId);
		SettingsChecks.required("failureDomain", failureDomain);
		SettingsChecks.required("roles", roles);
		SettingsChecks.required("peers", peers);
		SettingsChecks.required("operators", operators);
		SettingsChecks.required("fleet", fleet);
		SettingsChecks.required("shares", shares);
		roles = List.copyOf(roles);
		fleet = List.copyOf(fleet);
		shares = List.copyOf(shares);
		timing = (timing != null) ? timing : TimingSettings.DEFAULT;
		checkRoles(roles, dataFolder, callers);
		checkPorts(callers, peers, operators);
		checkFleet(hostId, failureDomain, roles, fleet);
		checkShares(shares, fleet);
		checkTokens(operators, shares);
	}

	private static void checkRoles(List<Role> roles, String dataFolder, EndpointSettings callers) {
		if (roles.isEmpty()) {
			throw SettingsChecks.invalid("roles", "is empty; list \"router\", \"replica\" or both");
		}
		if (roles.contains(Role.REPLICA) && dataFolder == null) {
			throw SettingsChecks.invalid("dataFolder", "is missing; the replica role needs a folder on a disk");
		}
		if (roles.contains(Role.ROUTER) && callers == null) {
			throw SettingsChecks.invalid("callers", "is missing; the router role needs an address for callers");
		}
	}

	private static void checkPorts(EndpointSettings callers, PeerSettings peers, OperatorSettings operators) {
		Set<String> addresses = new HashSet<>();
		if (callers != null) {
			addresses.add(callers.address() + ":" + callers.port());
		}
		if (!addresses.add(peers.address() + ":" + peers.port())) {
			throw SettingsChecks.invalid("peers/port",
					"is " + peers.port() + ", as is /callers/port; use another port");
		}
		if (!addresses.add(operators.address() + ":" + operators.port())) {
			throw SettingsChecks.invalid("operators/port",
					"is " + operators.port() + ", as is another port of this daemon; use another port");
		}
	}

	private static void checkFleet(String hostId, String failureDomain, List<Role> roles,
			List<FleetHostSettings> fleet) {
		Set<String> hostIds = new HashSet<>();
		for (int i = 0; i < fleet.size(); i++) {
			if (!hostIds.add(fleet.get(i).hostId())) {
				throw SettingsChecks.invalid("fleet/" + i + "/hostId",
						"is \"" + fleet.get(i).hostId() + "\", as is an earlier entry; list each host once");
			}
		}
		FleetHostSettings self = fleet.stream()
			.filter((host) -> host.hostId().equals(hostId))
			.findFirst()
			.orElseThrow(() -> SettingsChecks.invalid("hostId",
					"is \"" + hostId + "\", which /fleet does not list; add this host to /fleet"));
		if (!self.failureDomain().equals(failureDomain)) {
			throw SettingsChecks.invalid("failureDomain", "is \"" + failureDomain + "\" but /fleet says \""
					+ self.failureDomain() + "\" for this host; make them equal");
		}
		if (!Set.copyOf(self.roles()).equals(Set.copyOf(roles))) {
			throw SettingsChecks.invalid("roles",
					"is " + roles + " but /fleet says " + self.roles() + " for this host; make them equal");
		}
	}

	private static void checkShares(List<ShareSettings> shares, List<FleetHostSettings> fleet) {
		Set<String> names = new HashSet<>();
		for (int i = 0; i < shares.size(); i++) {
			ShareSettings share = shares.get(i);
			if (!names.add(share.share())) {
				throw SettingsChecks.invalid("shares/" + i + "/share",
						"is \"" + share.share() + "\", as is an earlier entry; list each share once");
			}
			for (String replica : share.replicaHostIds()) {
				boolean known = fleet.stream()
					.anyMatch((host) -> host.hostId().equals(replica) && host.roles().contains(Role.REPLICA));
				if (!known) {
					throw SettingsChecks.invalid("shares/" + i + "/replicaHostIds", "lists \"" + replica
							+ "\", which is not a host of /fleet with the replica role; correct one of the two");
				}
			}
		}
	}

	private static void checkTokens(OperatorSettings operators, List<ShareSettings> shares) {
		for (int i = 0; i < operators.tokens().size(); i++) {
			String share = operators.tokens().get(i).share();
			if (!"*".equals(share) && shares.stream().noneMatch((known) -> known.share().equals(share))) {
				throw SettingsChecks.invalid("operators/tokens/" + i + "/share",
						"is \"" + share + "\", which /shares does not list; use a listed share or \"*\"");
			}
		}
	}

	/**
	 * Returns whether the daemon has a role.
	 * @param role the role
	 * @return whether it does
	 */
	public boolean hasRole(Role role) {
		return this.roles.contains(role);
	}

}
