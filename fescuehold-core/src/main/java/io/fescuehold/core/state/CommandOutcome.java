package io.fescuehold.core.state;

/**
 * The outcome of any {@link StateCommand}.
 */
public sealed interface CommandOutcome permits CallOutcome, StateOutcome {

}
