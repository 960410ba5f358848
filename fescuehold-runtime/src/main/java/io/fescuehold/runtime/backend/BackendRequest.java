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
 * @param beforeSend called when the connection is open and nothing has been sent yet
 */
public record BackendRequest(String method, String uri, Map<String, String> headers, byte[] body,
		SendListener beforeSend) {

	private static final byte[] EMPTY_BODY = {};

	/**
	 * Creates a request without a body.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @return the request
	 */
	public static BackendRequest of(String method, String uri) {
		return new BackendRequest(method, uri, Map.of(), EMPTY_BODY, (kept) -> {
		});
	}

	/**
	 * Creates a POST request with a JSON body.
	 * @param uri the path and query
	 * @param headers the additional headers
	 * @param json the body
	 * @return the request
	 */
	public static BackendRequest json(String uri, Map<String, String> headers, byte[] json) {
		Map<String, String> allHeaders = new HashMap<>(headers);
		allHeaders.put("Content-Type", "application/json");
		return new BackendRequest("POST", uri, allHeaders, json, (kept) -> {
		});
	}

	/**
	 * Is told when a request is about to be sent.
	 */
	@FunctionalInterface
	public interface SendListener {

		/**
		 * Called before the first byte is sent. If it throws, the request is not sent.
		 * @param keptConnection whether other requests were sent over the connection
		 * before, to which late answers may still arrive
		 */
		void beforeSend(boolean keptConnection);

	}

}
