package io.fescuehold.core.call;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StoredAnswer;

/**
 * What a router does next for a call that runs at most once.
 */
public sealed interface CallStep {

	/**
	 * Open a connection and dispatch the call; ask {@link CallFlow#mayDispatch(long)}
	 * again right before the first byte.
	 *
	 * @param fencingNumber the number that the dispatch carries
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
	 * @param code the code
	 * @param run whether the call was run
	 * @param retryAfterMs the time in milliseconds after which asking again helps, or 0
	 * @param argument the argument of the code's message
	 */
	record Refuse(ErrorCode code, RunStatus run, long retryAfterMs, String argument) implements CallStep {
	}

	/**
	 * The call was certainly not run and its record says so: begin again under a new
	 * grant, or refuse the call with the given step.
	 *
	 * @param otherwise the refusal
	 */
	record BeginAgain(Refuse otherwise) implements CallStep {
	}

}
