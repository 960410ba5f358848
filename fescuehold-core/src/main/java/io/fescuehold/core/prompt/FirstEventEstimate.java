package io.fescuehold.core.prompt;

import java.util.List;

import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.WorkTimes;

/**
 * Estimates when a server would send the first event of a prompt, and what reading the
 * prompt there costs the requests that it runs.
 */
final class FirstEventEstimate {

	/** Below this multiple of the usual time a server does not count as slow. */
	private static final double SLOW_FACTOR = 1.1;

	/**
	 * The part of the reading time by which each running request is delayed: engines read
	 * prompts in chunks between the tokens of the other requests.
	 */
	private static final double DELAY_OF_OTHERS = 0.1;

	/** The part of its objective that a caller does not notice. */
	private static final double UNNOTICED_PART = 0.02;

	/**
	 * Above this part of the objective chance may make the first event late.
	 */
	private static final double RISKED_PART = 0.5;

	private final PartHolders holders;

	private final WorkTimes times;

	FirstEventEstimate(PartHolders holders, WorkTimes times) {
		this.holders = holders;
		this.times = times;
	}

	/**
	 * Returns whether something tells that requests take longer at a server than usual.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return whether it is slow or has requests that wait
	 */
	boolean isKnownSlow(ServerState server, long nowMs) {
		return server.speed().factor(nowMs) > SLOW_FACTOR || server.waiting(nowMs) > 0;
	}

	/**
	 * Returns the tokens of a prompt that a server has to read.
	 * @param prompt the prompt
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return the tokens from the first part that the server does not hold
	 */
	int unreadTokens(PromptShape prompt, ServerState server, long nowMs) {
		int heldTokens = 0;
		for (PromptPart part : prompt.parts()) {
			if (!this.holders.holds(part, server.server().id(), nowMs)) {
				break;
			}
			heldTokens += part.tokens();
		}
		return prompt.promptTokens() - heldTokens;
	}

	/**
	 * Returns the cost of running a request at a server.
	 * @param request the request
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return the expected time to the first event in milliseconds, with the delay of the
	 * requests that run there, or NaN if no times are known
	 */
	double costMs(EngineRequest request, ServerState server, long nowMs) {
		int unreadTokens = unreadTokens(request.prompt(), server, nowMs);
		double ownMs = this.times.expectedMs(request.service(), unreadTokens);
		double waitMs = server.waiting(nowMs) * this.times.meanReadMs(request.service());
		double delayMs = readMs(request, unreadTokens) * server.load(nowMs) * DELAY_OF_OTHERS;
		return server.speed().factor(nowMs) * (ownMs + waitMs + delayMs);
	}

	private double readMs(EngineRequest request, int tokens) {
		double msPerToken = this.times.msPerToken(request.service());
		return Double.isNaN(msPerToken) ? 0 : msPerToken * tokens;
	}

	/**
	 * Returns the time that a caller does not notice.
	 * @param request the request
	 * @return the time in milliseconds
	 */
	private static double unnoticedMs(EngineRequest request) {
		return request.demand().objectiveMs() * UNNOTICED_PART;
	}

	/**
	 * Returns whether another server is so much faster that the request should leave the
	 * first one and its parts.
	 * @param request the request
	 * @param firstMs the cost at the first server in milliseconds
	 * @param otherMs the cost at the other server in milliseconds
	 * @return whether the request may miss its objective at the first server and gains a
	 * time that the caller notices; false if a cost is not known
	 */
	static boolean isWorthLeaving(EngineRequest request, double firstMs, double otherMs) {
		return firstMs > request.demand().objectiveMs() * RISKED_PART && firstMs - otherMs > unnoticedMs(request);
	}

	/**
	 * Returns whether a server should copy shared parts that it lacks rather than read
	 * them again, which also delays the requests that run there.
	 * @param request the request
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return whether callers would notice the difference, or a time is not known
	 */
	boolean isCopyNoticed(EngineRequest request, ServerState server, long nowMs) {
		double msPerToken = this.times.msPerToken(request.service());
		double copyMsPerToken = (request.engine() != null) ? request.engine().copyMsPerToken() : Double.NaN;
		if (Double.isNaN(msPerToken) || Double.isNaN(copyMsPerToken)) {
			return true;
		}
		double readMsPerToken = msPerToken * server.speed().factor(nowMs) * (1 + server.load(nowMs) * DELAY_OF_OTHERS);
		double savedMsPerToken = readMsPerToken - copyMsPerToken;
		return missingSharedTokens(request.prompt(), server, nowMs) * savedMsPerToken > unnoticedMs(request);
	}

	private int missingSharedTokens(PromptShape prompt, ServerState server, long nowMs) {
		List<PromptPart> shared = prompt.sharedParts();
		return unreadTokens(new PromptShape(shared, 0), server, nowMs);
	}

}
