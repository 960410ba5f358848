package io.fescuehold.core.relay;

/**
 * A daemon in the relay tree.
 *
 * @param hostId the host id
 * @param failureDomain the failure domain
 * @param replica whether the host is a replica and therefore a root
 */
public record RelayHost(String hostId, String failureDomain, boolean replica) {

}
