package io.fescuehold.core.prompt;

import io.fescuehold.core.servers.ServerState;

/**
 * Where a prompt goes.
 *
 * @param server the server
 * @param copyFrom a server that holds shared parts which the chosen one may lack, or null
 * @param reason why the server was chosen, for the log
 */
public record EngineChoice(ServerState server, ServerState copyFrom, Reason reason) {

	/**
	 * Why a server was chosen.
	 */
	public enum Reason {

		/** The hash of the shared part leads there. */
		HOME,

		/** The server that the hash leads to is above its load bound. */
		SPILL,

		/** All servers are above the load bound, or the prompt shares nothing. */
		LEAST_LOADED

	}

}
