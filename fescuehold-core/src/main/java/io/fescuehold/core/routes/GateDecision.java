package io.fescuehold.core.routes;

import io.fescuehold.core.error.FescueholdException;

/**
 * Whether a request may be passed on.
 */
public sealed interface GateDecision {

	/**
	 * The request may be passed on.
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
