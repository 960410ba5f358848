package io.fescuehold.core.state;

/**
 * The outcome of {@link StateCommand.BeginCall}.
 */
public sealed interface CallOutcome extends CommandOutcome {

	/**
	 * The call may be dispatched once.
	 *
	 * @param fencingNumber the number that the dispatch carries
	 */
	record Granted(long fencingNumber) implements CallOutcome {
	}

	/**
	 * The call ran before; its answer is given again.
	 *
	 * @param answer the stored answer
	 */
	record Completed(StoredAnswer answer) implements CallOutcome {
	}

	/**
	 * The call is running at a router.
	 *
	 * @param retryAfterMs the time in milliseconds until the call completes or counts as
	 * unknown
	 */
	record InProgress(long retryAfterMs) implements CallOutcome {
	}

	/** Whether the call ran is unknown; it is never run again. */
	record Unknown() implements CallOutcome {
	}

	/** The key was used with another request. */
	record DigestMismatch() implements CallOutcome {
	}

	/**
	 * The store has no room for another record.
	 *
	 * @param limit the number of records that the store holds at most
	 * @param retryAfterMs the time in milliseconds until a record expires
	 */
	record StoreFull(long limit, long retryAfterMs) implements CallOutcome {
	}

	/**
	 * The share does not own the team, or the router has not yet learned how the share
	 * came to own it.
	 */
	record NotOwner() implements CallOutcome {
	}

}
