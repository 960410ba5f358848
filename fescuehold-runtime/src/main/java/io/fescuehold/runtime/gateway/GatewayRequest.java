package io.fescuehold.runtime.gateway;

import io.fescuehold.core.quarantine.RequestFeatures;
import io.fescuehold.core.quarantine.RequestIdentity;
import io.fescuehold.core.routes.Route;
import io.fescuehold.core.routes.TeamAccess;
import io.fescuehold.core.servers.RequestDemand;
import io.fescuehold.runtime.http.ByteBudget;

/**
 * An admitted request.
 *
 * @param head the caller's request line and headers
 * @param body the body
 * @param route the route
 * @param team the team, or null
 * @param service the service that runs it
 * @param receivedAtMs when the head was read, in milliseconds of the gateway's clock
 * @param deadlineAtMs the deadline of the complete response, in milliseconds of the
 * gateway's clock
 * @param hop what the host told that passed the request on, or null if a caller sent it
 * @param memory counts the bytes that the host holds for the request
 * @param features what can make the request crash servers
 */
record GatewayRequest(CallerHead head, byte[] body, Route route, TeamAccess team, String service, long receivedAtMs,
		long deadlineAtMs, RelayHop hop, ByteBudget.Lease memory, RequestFeatures features) {

	private static final int LEAST_URGENT = TeamAccess.LEAST_URGENT * Route.PRIORITIES;

	GatewayRequest(CallerHead head, byte[] body, Route route, TeamAccess team, String service, long receivedAtMs,
			long deadlineAtMs, RelayHop hop, ByteBudget.Lease memory) {
		this(head, body, route, team, service, receivedAtMs, deadlineAtMs, hop, memory,
				new RequestFeatures(head.prompt(),
						new RequestIdentity(head.method(), head.uri(), (team != null) ? team.name() : null, body)));
	}

	/**
	 * Returns the priority at a model engine, ordered by the team's priority first and by
	 * the route's second.
	 * @return the priority from 0, the most urgent, to 9
	 */
	int urgency() {
		int routePriority = Math.clamp(this.route.priority(), 0, Route.PRIORITIES - 1);
		int teamPriority = (this.team != null && this.team.priority() != null) ? this.team.priority() : 0;
		return Math.clamp((long) teamPriority * Route.PRIORITIES + routePriority, 0, LEAST_URGENT);
	}

	/**
	 * Returns what the request asks of a server.
	 * @param readTokens the tokens of the prompt
	 * @param writeTokens the expected tokens of the response
	 * @return the demand
	 */
	RequestDemand demand(int readTokens, int writeTokens) {
		return new RequestDemand(readTokens, writeTokens, urgency(), (this.team != null) ? this.team.name() : "",
				this.route.objectiveMs(), this.deadlineAtMs);
	}

	long leftMs(long nowMs) {
		return this.deadlineAtMs - nowMs;
	}

}
