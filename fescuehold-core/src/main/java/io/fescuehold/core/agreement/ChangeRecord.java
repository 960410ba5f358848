package io.fescuehold.core.agreement;

import java.util.Objects;

/**
 * A membership change with the replica identities to which its host ids were resolved. It
 * is part of the replicated membership, so a new leader continues a change that its
 * predecessor started.
 *
 * @param change the command
 * @param addId the identity that becomes a voter, or null
 * @param removeId the identity that is removed, or null
 */
public record ChangeRecord(MembershipChange change, ReplicaId addId, ReplicaId removeId) {

	/**
	 * Checks the arguments.
	 */
	public ChangeRecord {
		Objects.requireNonNull(change, "change");
	}

}
