package io.fescuehold.core.state;

import java.util.Map;

/**
 * The answer of a completed call.
 *
 * @param status the HTTP status
 * @param headers the headers that are returned to the caller
 * @param body the body, or an empty array if it was omitted
 * @param truncated whether the body was omitted because it exceeded a size limit of the
 * store
 */
public record StoredAnswer(int status, Map<String, String> headers, byte[] body, boolean truncated) {

	public StoredAnswer {
		headers = (headers != null) ? Map.copyOf(headers) : Map.of();
		body = (body != null) ? body : new byte[0];
	}

}
