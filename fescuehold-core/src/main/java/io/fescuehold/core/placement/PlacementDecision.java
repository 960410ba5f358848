package io.fescuehold.core.placement;

/**
 * The outcome of a placement.
 */
public sealed interface PlacementDecision {

	/**
	 * A server was chosen.
	 *
	 * @param serverId the server
	 * @param expectedCachedTokens the prompt tokens expected in the server's cache
	 * @param kvSourceServerId the server to import the chat's KV cache from, or null
	 * @param reason why the server was chosen, for logs and dumps
	 */
	record Chosen(String serverId, long expectedCachedTokens, String kvSourceServerId,
			String reason) implements PlacementDecision {
	}

	/**
	 * Every server is at its limit.
	 *
	 * @param retryAfterMs the time in milliseconds after which a server is expected to
	 * have room
	 */
	record Full(long retryAfterMs) implements PlacementDecision {
	}

	/** No server offers the model. */
	record None() implements PlacementDecision {
	}

}
