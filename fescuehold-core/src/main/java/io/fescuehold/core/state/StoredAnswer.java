package io.fescuehold.core.state;

import java.util.Map;

/**
 * The answer of a completed call.
 *
 * @param status the HTTP status
 * @param headers the headers that are given to the caller
 * @param body the body, or an empty array if it was too large to store
 * @param truncated whether the body was too large to store
 */
public record StoredAnswer(int status, Map<String, String> headers, byte[] body, boolean truncated) {

	public StoredAnswer {
		headers = (headers != null) ? Map.copyOf(headers) : Map.of();
		body = (body != null) ? body : new byte[0];
	}

}
