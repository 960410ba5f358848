package io.fescuehold.core.membership;

/**
 * Serving state that a daemon reports.
 */
public enum HostState {

	/** The daemon has no configuration yet. */
	STARTING,

	/** The daemon serves callers. */
	READY,

	/** The daemon is shutting down and completes the requests in progress. */
	DRAINING

}
