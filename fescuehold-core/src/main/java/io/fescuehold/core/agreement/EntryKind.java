package io.fescuehold.core.agreement;

/**
 * Kinds of log entries.
 */
public enum EntryKind {

	/** The first entry of a leader's term; it has no content. */
	NO_OP,

	/** A command for the replicated state machine. */
	COMMAND,

	/** A membership written by {@link MembershipCodec}. */
	MEMBERSHIP

}
