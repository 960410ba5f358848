package io.fescuehold.core.state;

/**
 * Identifies a non-idempotent call.
 *
 * @param team the team that sends the call
 * @param idempotencyKey the key chosen by the caller
 */
public record CallKey(String team, String idempotencyKey) {

}
