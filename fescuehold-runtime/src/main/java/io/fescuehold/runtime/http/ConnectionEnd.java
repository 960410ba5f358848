package io.fescuehold.runtime.http;

/**
 * The ways in which a connection of a caller ends.
 */
public enum ConnectionEnd {

	/** Closed by this process after the responses to all requests. */
	COMPLETE,

	/** Closed by the caller, or lost. */
	PEER,

	/** Closed by this process while a request was not read completely. */
	INCOMPLETE,

	/** Closed by this process in the middle of a response. */
	CUT,

	/** Closed by this process without a response to a request that it had read. */
	UNANSWERED

}
