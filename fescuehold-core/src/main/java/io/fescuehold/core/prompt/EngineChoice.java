package io.fescuehold.core.prompt;

import io.fescuehold.core.servers.ServerState;

/**
 * The server chosen for a prompt.
 *
 * @param server the server
 * @param copyFrom a server that holds shared parts which the chosen one may lack, or null
 * @param reason why the server was chosen, for the log
 * @param unreadTokens the tokens of the prompt that the server is not known to hold
 */
public record EngineChoice(ServerState server, ServerState copyFrom, Reason reason, int unreadTokens) {

	/**
	 * Why a server was chosen.
	 */
	public enum Reason {

		/** The server is the first one in the hash order of the shared part. */
		HOME,

		/** The first server in the hash order is above the load bound. */
		SPILL,

		/** The first server in the hash order has no memory left for the prompt. */
		MEMORY,

		/** A server is expected to send the first event sooner than a slow one. */
		FASTER,

		/** All servers are above the load bound, or the prompt shares nothing. */
		LEAST_LOADED

	}

}
