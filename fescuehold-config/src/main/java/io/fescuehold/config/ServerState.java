package io.fescuehold.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Life-cycle state of a backend server as declared by the operators of its share.
 */
public enum ServerState {

	/** The server may receive requests gradually; its cache is empty at first. */
	@JsonProperty("joining")
	JOINING,

	/** The server receives requests. */
	@JsonProperty("active")
	ACTIVE,

	/** The server receives no new requests; those in flight complete. */
	@JsonProperty("leaving")
	LEAVING

}
