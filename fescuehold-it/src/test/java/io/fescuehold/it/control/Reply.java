package io.fescuehold.it.control;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An answer of the administration API.
 *
 * @param status the HTTP status
 * @param number the number in the header of a configuration, or -1
 * @param digest the digest in the header of a configuration, or an empty string
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
