package io.fescuehold.core.port;

import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import reactor.core.publisher.Mono;

/**
 * The replicated state of all shares as seen by a router. Each call finds the leader of
 * the share's group and follows leader changes. Errors carry code NO_QUORUM if nothing
 * was accepted, or OUTCOME_UNKNOWN if that is not known.
 */
public interface SharedState {

	/**
	 * Records a non-idempotent call before its dispatch.
	 * @param share the share that owns the team
	 * @param command the command, whose time is replaced by the time of the leader
	 * @return the outcome
	 */
	Mono<CallOutcome> begin(String share, StateCommand.BeginCall command);

	/**
	 * Applies a command that is safe to send again, such as the end of a call.
	 * @param share the share that owns the team or server
	 * @param command the command, whose time is replaced by the time of the leader
	 * @return the outcome
	 */
	Mono<StateOutcome> apply(String share, StateCommand command);

}
