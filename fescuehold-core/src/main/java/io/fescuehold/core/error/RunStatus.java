package io.fescuehold.core.error;

/**
 * Whether a refused or failed request was run by a backend server.
 */
public enum RunStatus {

	/** The request was certainly not run. */
	NO,

	/** The request was run. */
	YES,

	/** The request may or may not have been run. */
	UNKNOWN

}
