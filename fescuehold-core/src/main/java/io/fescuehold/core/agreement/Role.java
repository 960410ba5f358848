package io.fescuehold.core.agreement;

/**
 * Roles of a replica.
 */
public enum Role {

	/** Receives the log; learners and non-members stay in this role. */
	FOLLOWER,

	/** Asks whether an election could be won, without a new term. */
	PRE_CANDIDATE,

	/** Asks for votes in a new term. */
	CANDIDATE,

	/** Creates the entries of its term. */
	LEADER

}
