package io.fescuehold.runtime.gateway;

import io.fescuehold.core.routes.Route;
import io.fescuehold.core.routes.TeamAccess;

/**
 * An admitted request.
 *
 * @param head the caller's head
 * @param body the body
 * @param route the route
 * @param team the team, or null
 * @param service the service that runs it
 * @param receivedAtMs when the head was read, in milliseconds of the gateway's clock
 * @param deadlineAtMs when the final answer is due at the latest
 */
record GatewayRequest(CallerHead head, byte[] body, Route route, TeamAccess team, String service, long receivedAtMs,
		long deadlineAtMs) {

	private static final int HIGHEST_URGENCY = 9;

	private static final int ROUTE_RANKS = 3;

	/**
	 * Returns the rank at a model engine: the team's rank first, then the route's.
	 * @return the rank from 0, the most urgent, to 9
	 */
	int urgency() {
		int ofRoute = Math.clamp(this.route.priority(), 0, ROUTE_RANKS - 1);
		int ofTeam = (this.team != null && this.team.priority() != null) ? this.team.priority() : 0;
		return Math.clamp((long) ofTeam * ROUTE_RANKS + ofRoute, 0, HIGHEST_URGENCY);
	}

	long leftMs(long nowMs) {
		return this.deadlineAtMs - nowMs;
	}

}
