package io.fescuehold.core.agreement;

import java.util.Objects;

/**
 * A member of an agreement group.
 *
 * @param id the identity
 * @param failureDomain the failure domain of the host
 * @param voter whether the member counts for majorities; a learner only receives the log
 */
public record Member(ReplicaId id, String failureDomain, boolean voter) {

	/**
	 * Checks the arguments.
	 */
	public Member {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(failureDomain, "failureDomain");
	}

}
