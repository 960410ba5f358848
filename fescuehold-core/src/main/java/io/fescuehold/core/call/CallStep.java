package io.fescuehold.core.call;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StoredAnswer;

/**
 * The next step of a router for a call that runs at most once.
 */
public sealed interface CallStep {

	/**
	 * Open a connection and dispatch the call; check {@link CallFlow#mayDispatch(long)}
	 * again right before the first byte.
	 *
	 * @param fencingNumber the fencing number to send with the call
	 */
	record Dispatch(long fencingNumber) implements CallStep {
	}

	/**
	 * Record the end of the call, then report it with {@link CallFlow#recorded()} or
	 * {@link CallFlow#notRecorded()}. The command is repeated until it is recorded.
	 *
	 * @param command the command
	 */
	record Record(StateCommand command) implements CallStep {
	}

	/**
	 * Give the caller the response of the service.
	 *
	 * @param answer the response, as it was stored or as it was received
	 */
	record Respond(StoredAnswer answer) implements CallStep {
	}

	/**
	 * Refuse the call.
	 *
	 * @param code the error code
	 * @param run whether the call was run
	 * @param retryAfterMs the time in milliseconds after which the caller may retry, or 0
	 * if a retry does not help
	 * @param argument the argument of the message of the error code
	 */
	record Refuse(ErrorCode code, RunStatus run, long retryAfterMs, String argument) implements CallStep {
	}

	/**
	 * The call was certainly not run and is recorded as such: begin again under a new
	 * grant, or refuse the call with the given step.
	 *
	 * @param otherwise the refusal
	 */
	record BeginAgain(Refuse otherwise) implements CallStep {
	}

}
