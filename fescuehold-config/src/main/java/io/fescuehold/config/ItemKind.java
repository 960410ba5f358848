package io.fescuehold.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Kinds of items that can move between shares.
 */
public enum ItemKind {

	/** A team with its limits. */
	@JsonProperty("team")
	TEAM,

	/** A model server. */
	@JsonProperty("modelServer")
	MODEL_SERVER,

	/** A service with all its backend servers. */
	@JsonProperty("service")
	SERVICE

}
