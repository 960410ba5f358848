package io.fescuehold.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Life-cycle state of a backend server as declared by the operators of its share.
 */
public enum ServerState {

	/** The server may receive work gradually; it starts with an empty cache. */
	@JsonProperty("joining")
	JOINING,

	/** The server receives work. */
	@JsonProperty("active")
	ACTIVE,

	/** The server receives no new work; requests in flight finish. */
	@JsonProperty("leaving")
	LEAVING

}
