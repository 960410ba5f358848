package io.fescuehold.runtime.http.port;

import reactor.core.publisher.Mono;

/**
 * Admits requests to the model servers while they are congested.
 */
public interface Admission {

	/** Admits every request at once. */
	Admission OPEN = (request) -> Mono.just((usedTokens) -> {
	});

	/**
	 * Admits a request, possibly after a bounded wait.
	 * @param request the request
	 * @return the permit, or a {@link io.fescuehold.core.error.FescueholdException} with
	 * code TEAM_OVER_SHARE, OVERLOADED or DEADLINE_EXCEEDED; cancelling leaves the queue
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
	 * The permission to be in flight.
	 */
	@FunctionalInterface
	interface Permit {

		/**
		 * Ends the request. Called once.
		 * @param usedTokens the tokens processed for the request
		 */
		void release(long usedTokens);

	}

}
