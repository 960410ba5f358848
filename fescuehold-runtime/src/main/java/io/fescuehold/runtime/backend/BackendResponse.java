package io.fescuehold.runtime.backend;

import java.util.Map;

/**
 * A complete response of a backend server.
 *
 * @param status the HTTP status
 * @param headers the headers by lower-case name
 * @param body the body
 */
public record BackendResponse(int status, Map<String, String> headers, byte[] body) {

	public BackendResponse {
		headers = Map.copyOf(headers);
	}

}
