package io.fescuehold.core.limits;

/**
 * Whether a request goes on to its service.
 *
 * @param <T> the type of the requests
 */
public sealed interface ServiceDecision<T> {

	/**
	 * The request goes on now.
	 *
	 * @param <T> the type of the requests
	 */
	record Pass<T>() implements ServiceDecision<T> {
	}

	/**
	 * The request waits at the host.
	 *
	 * @param overShare whether its team demands more than its fair share
	 * @param displaced a less urgent request that left the line for it and must be
	 * refused at once, or null
	 * @param displacedRetryAfterMs the retry time of that request in milliseconds
	 * @param <T> the type of the requests
	 */
	record Wait<T>(boolean overShare, T displaced, long displacedRetryAfterMs) implements ServiceDecision<T> {
	}

	/**
	 * The request is refused and was not run.
	 *
	 * @param reason why
	 * @param retryAfterMs when room is expected for it, in milliseconds from now
	 * @param <T> the type of the requests
	 */
	record Refused<T>(Reason reason, long retryAfterMs) implements ServiceDecision<T> {
	}

	/**
	 * Why a request is refused.
	 */
	enum Reason {

		/**
		 * Its team demands more than its fair share, and the rest of the room is taken.
		 */
		OVER_SHARE,

		/** The wait would leave no time to serve it. */
		TOO_LATE,

		/** The line is full of requests that are as urgent. */
		LINE_FULL

	}

}
