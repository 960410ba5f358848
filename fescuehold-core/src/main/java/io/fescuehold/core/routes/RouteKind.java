package io.fescuehold.core.routes;

/**
 * How the requests of a route may be repeated and answered.
 */
public enum RouteKind {

	/** May run more than once; the response is delivered whole. */
	IDEMPOTENT,

	/** Runs at most once for each attempt of the caller. */
	NON_IDEMPOTENT,

	/** The response is a series of events, see {@link Route#resumable()}. */
	STREAMING

}
