package io.fescuehold.core.state;

import java.util.Objects;

/**
 * Identifies a non-idempotent call.
 *
 * @param team the team that sends the call
 * @param idempotencyKey the key chosen by the caller
 */
public record CallKey(String team, String idempotencyKey) {

	public CallKey {
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

}
