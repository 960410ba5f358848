package io.fescuehold.core.routes;

import io.fescuehold.core.error.FescueholdException;

/**
 * The decision whether a request may be forwarded.
 */
public sealed interface GateDecision {

	/**
	 * The request may be forwarded.
	 *
	 * @param route the route
	 * @param team the team, or null if the route is open or no teams are configured
	 */
	record Admitted(Route route, TeamAccess team) implements GateDecision {
	}

	/**
	 * The request is refused.
	 *
	 * @param refusal the reason
	 */
	record Refused(FescueholdException refusal) implements GateDecision {
	}

}
