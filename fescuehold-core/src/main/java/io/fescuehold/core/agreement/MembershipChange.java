package io.fescuehold.core.agreement;

import java.util.Objects;

/**
 * A membership command. Sending a command again with the same request id has no further
 * effect.
 *
 * @param requestId the id chosen by the operator
 * @param addHostId the host that becomes a voter, or null
 * @param removeHostId the host that is removed, or null
 */
public record MembershipChange(String requestId, String addHostId, String removeHostId) {

	/**
	 * Checks the arguments.
	 */
	public MembershipChange {
		Objects.requireNonNull(requestId, "requestId");
		if (addHostId == null && removeHostId == null) {
			throw new IllegalArgumentException("A membership change names a host to add or to remove");
		}
	}

	/**
	 * Creates a command that makes a host a voter.
	 * @param requestId the request id
	 * @param hostId the host
	 * @return the command
	 */
	public static MembershipChange add(String requestId, String hostId) {
		return new MembershipChange(requestId, Objects.requireNonNull(hostId, "hostId"), null);
	}

	/**
	 * Creates a command that removes a host.
	 * @param requestId the request id
	 * @param hostId the host
	 * @return the command
	 */
	public static MembershipChange remove(String requestId, String hostId) {
		return new MembershipChange(requestId, null, Objects.requireNonNull(hostId, "hostId"));
	}

	/**
	 * Creates a command that replaces a lost host. Both host ids are equal if the host
	 * returned with an empty disk.
	 * @param requestId the request id
	 * @param lostHostId the host that is removed
	 * @param newHostId the host that becomes a voter
	 * @return the command
	 */
	public static MembershipChange replace(String requestId, String lostHostId, String newHostId) {
		return new MembershipChange(requestId, Objects.requireNonNull(newHostId, "newHostId"),
				Objects.requireNonNull(lostHostId, "lostHostId"));
	}

}
