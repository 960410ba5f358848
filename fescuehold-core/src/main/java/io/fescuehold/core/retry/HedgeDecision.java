package io.fescuehold.core.retry;

/**
 * Whether a second copy of a request is sent.
 */
public sealed interface HedgeDecision {

	/**
	 * The copy is sent.
	 */
	record Send() implements HedgeDecision {

	}

	/**
	 * The copy is not sent.
	 *
	 * @param reason the limit that rules it out
	 */
	record Refused(Reason reason) implements HedgeDecision {

	}

	/** What rules a second copy out. */
	enum Reason {

		/** Too few times of similar requests are known. */
		NO_TIMES,

		/** Another answer would come too late for the caller. */
		NO_TIME_LEFT,

		/** The service has little room, so that more work would make all slower. */
		SERVICE_LOADED,

		/** Second copies have rarely answered first of late. */
		NOT_WINNING,

		/** The operators' limit is used up. */
		LIMIT,

		/**
		 * The retries that all hosts share, or the attempts of the route, are used up.
		 */
		RETRY_BUDGET,

		/** No other server could run it without reading the prompt again. */
		NO_SERVER

	}

}
