package io.fescuehold.daemon.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Roles that a daemon plays.
 */
public enum Role {

	/** Answers callers and routes their requests to backend servers. */
	@JsonProperty("router")
	ROUTER,

	/** Keeps the agreed state of shares on its disk and votes. */
	@JsonProperty("replica")
	REPLICA

}
