package io.fescuehold.runtime.fleet;

/**
 * A daemon of the fleet.
 *
 * @param hostId the id of the host
 * @param failureDomain the failure domain
 * @param callerAddress the address for callers as {@code ip:port}, or null if the daemon
 * is not a router
 * @param replica whether the daemon is a replica
 */
public record FleetHost(String hostId, String failureDomain, String callerAddress, boolean replica) {

}
