package io.fescuehold.core.state;

/**
 * The outcome of {@link StateCommand.BeginCall} and, if a record exists, of
 * {@link StateCommand.LookupCall}.
 */
public sealed interface CallOutcome extends CommandOutcome {

	/**
	 * The call may be dispatched once.
	 *
	 * @param fencingNumber the fencing number that the dispatch carries
	 */
	record Granted(long fencingNumber) implements CallOutcome {
	}

	/**
	 * The call has already run; its stored answer is returned.
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

	/** The key was used for a request with another digest. */
	record DigestMismatch() implements CallOutcome {
	}

	/**
	 * The store holds the maximum number of records.
	 *
	 * @param limit the maximum number of records
	 * @param retryAfterMs the time in milliseconds until the next record expires
	 */
	record StoreFull(long limit, long retryAfterMs) implements CallOutcome {
	}

	/**
	 * The share does not own the team, or the router's configuration does not yet include
	 * the latest transfer of the team to the share.
	 */
	record NotOwner() implements CallOutcome {
	}

}
