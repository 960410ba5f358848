package io.fescuehold.runtime.backend;

import java.util.Map;

/**
 * A complete response of a backend server.
 *
 * @param status the HTTP status
 * @param headers the headers by lower-case name
 * @param body the body
 */
public record BackendAnswer(int status, Map<String, String> headers, byte[] body) {

	public BackendAnswer {
		headers = Map.copyOf(headers);
	}

}
