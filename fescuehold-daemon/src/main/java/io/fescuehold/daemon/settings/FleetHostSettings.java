package io.fescuehold.daemon.settings;

import java.util.List;

/**
 * A daemon of the fleet as the others reach it.
 *
 * @param hostId the id of the host
 * @param failureDomain the failure domain of the host
 * @param callerAddress the address for callers as {@code ip:port}, or null without the
 * router role
 * @param peerAddress the address for other daemons as {@code ip:port}
 * @param operatorAddress the address of the administration API as {@code ip:port}, or
 * null
 * @param roles the roles of the daemon
 */
public record FleetHostSettings(String hostId, String failureDomain, String callerAddress, String peerAddress,
		String operatorAddress, List<Role> roles) {

	public FleetHostSettings {
		SettingsChecks.required("hostId", hostId);
		SettingsChecks.required("failureDomain", failureDomain);
		SettingsChecks.socketAddress("peerAddress", peerAddress);
		if (callerAddress != null) {
			SettingsChecks.socketAddress("callerAddress", callerAddress);
		}
		if (operatorAddress != null) {
			SettingsChecks.socketAddress("operatorAddress", operatorAddress);
		}
		roles = (roles != null) ? List.copyOf(roles) : List.of();
		if (roles.contains(Role.ROUTER) && callerAddress == null) {
			throw SettingsChecks.invalid("callerAddress", "is missing; routers need an address for callers");
		}
	}

}
