package io.fescuehold.it.control;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A response of the administration API.
 *
 * @param status the HTTP status
 * @param number the number of the configuration from the header, or -1 without the header
 * @param digest the digest of the configuration from the header, or an empty string
 * without the header
 * @param body the body
 */
record Reply(int status, long number, String digest, JsonNode body) {

	private static final int OK = 200;

	private static final int CONFLICT = 409;

	boolean isAccepted() {
		return this.status == OK;
	}

	boolean isConflict() {
		return this.status == CONFLICT && this.code().equals("SUBMISSION_CONFLICT");
	}

	String code() {
		return this.body.path("code").asText();
	}

}
