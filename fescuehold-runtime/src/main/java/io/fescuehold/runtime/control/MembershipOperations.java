package io.fescuehold.runtime.control;

import java.util.List;

import reactor.core.publisher.Mono;

/**
 * Changes and lists the members of one agreement group. Implemented by the replica.
 */
public interface MembershipOperations {

	/**
	 * Changes the members.
	 * @param change the change
	 * @return a description of the membership reached, once the change is complete;
	 * errors with code NOT_LEADER, NO_QUORUM, MEMBERSHIP_REFUSED or OUTCOME_UNKNOWN
	 */
	Mono<String> change(MembershipChange change);

	/**
	 * Returns the members known to this replica.
	 * @return one line per member with host id, store id and role
	 */
	List<String> members();

}
