package io.fescuehold.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Roles of a daemon.
 */
public enum Role {

	/** Accepts requests of callers and routes them to backend servers. */
	@JsonProperty("router")
	ROUTER,

	/** Stores the replicated state of shares on disk and votes in their groups. */
	@JsonProperty("replica")
	REPLICA

}
