package io.fescuehold.runtime.http.port;

import reactor.core.publisher.Mono;

/**
 * Admission control of the requests to model servers.
 */
public interface Admission {

	/** Admits every request immediately. */
	Admission OPEN = (request) -> Mono.just((usedTokens) -> {
	});

	/**
	 * Admits a request, possibly after a bounded wait.
	 * @param request the request
	 * @return the permit, or a {@link io.fescuehold.core.error.FescueholdException} with
	 * code UNKNOWN_TEAM, TEAM_OVER_SHARE, OVERLOADED or DEADLINE_EXCEEDED; cancelling the
	 * subscription removes the request from the queue
	 */
	Mono<Permit> admit(Request request);

	/**
	 * A request that asks for admission.
	 *
	 * @param team the team
	 * @param share the share that serves the request
	 * @param model the model
	 * @param tokens the tokens of the prompt and of the longest response
	 * @param priority the priority, where a lower number is served earlier
	 * @param deadlineAtMs the deadline in milliseconds since the epoch
	 */
	record Request(String team, String share, String model, long tokens, int priority, long deadlineAtMs) {

	}

	/**
	 * Permits one request to be in flight.
	 */
	@FunctionalInterface
	interface Permit {

		/**
		 * Returns the permit when the request has ended. Called exactly once.
		 * @param usedTokens the tokens processed for the request
		 */
		void release(long usedTokens);

	}

}
