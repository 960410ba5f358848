package io.fescuehold.runtime.backend;

import java.util.HashMap;
import java.util.Map;

/**
 * A request to a backend server.
 *
 * @param method the HTTP method
 * @param uri the path and query
 * @param headers the headers
 * @param body the body, possibly empty
 * @param beforeSend called when the connection is open and nothing has been sent; an
 * exception from it stops the request before its first byte
 */
public record BackendRequest(String method, String uri, Map<String, String> headers, byte[] body, Runnable beforeSend) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a request without a body.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @return the request
	 */
	public static BackendRequest of(String method, String uri) {
		return new BackendRequest(method, uri, Map.of(), NO_BODY, () -> {
		});
	}

	/**
	 * Creates a POST request with a JSON body.
	 * @param uri the path and query
	 * @param headers further headers
	 * @param json the body
	 * @return the request
	 */
	public static BackendRequest json(String uri, Map<String, String> headers, byte[] json) {
		Map<String, String> all = new HashMap<>(headers);
		all.put("Content-Type", "application/json");
		return new BackendRequest("POST", uri, all, json, () -> {
		});
	}

}
