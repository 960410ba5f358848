package io.fescuehold.runtime.http;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;

/**
 * Creates refusals that state whether the request was run.
 */
final class Refusals {

	private Refusals() {
	}

	/**
	 * Creates a refusal.
	 * @param code the code
	 * @param run whether the request was run
	 * @param retryAfterMs the time in milliseconds after which asking again helps, or 0
	 * @param arguments the arguments of the code's message
	 * @return the refusal
	 */
	static FescueholdException of(ErrorCode code, RunStatus run, long retryAfterMs, Object... arguments) {
		// Passing the array itself selects the constructor with the run status; a call
		// with
		// single arguments would also match the constructor without it.
		return new FescueholdException(code, run, retryAfterMs, arguments);
	}

}
