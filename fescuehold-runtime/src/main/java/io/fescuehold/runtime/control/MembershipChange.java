package io.fescuehold.runtime.control;

/**
 * A change of the replicas of a share. A retry with the same request id is safe.
 *
 * @param share the share
 * @param kind the kind of the change
 * @param requestId identifies the request
 * @param hostId the host that joins or, for a removal, leaves
 * @param replacedHostId the host that is replaced, otherwise null
 */
public record MembershipChange(String share, Kind kind, String requestId, String hostId, String replacedHostId) {

	/**
	 * The kinds of membership changes.
	 */
	public enum Kind {

		/** Adds a replica. */
		ADD,

		/** Removes a replica. */
		REMOVE,

		/** Adds a replica and then removes another. */
		REPLACE

	}

}
