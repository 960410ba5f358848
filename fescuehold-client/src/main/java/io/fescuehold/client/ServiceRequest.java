package io.fescuehold.client;

import java.util.Locale;
import java.util.UUID;

/**
 * A call to a service. Every call that is not a GET or HEAD has an idempotency key, which
 * all attempts of the call share; a call that is repeated because its outcome is unknown
 * must use the same key.
 *
 * @param service the service
 * @param method the HTTP method
 * @param path the path below the service, with its leading slash and query
 * @param body the body, empty for none
 * @param contentType the media type of the body, or null for JSON
 * @param idempotencyKey the key, or null to have one generated
 * @param timeoutMs the time for the whole call in milliseconds, or 0 for the client's
 * default
 */
public record ServiceRequest(String service, String method, String path, byte[] body, String contentType,
		String idempotencyKey, long timeoutMs) {

	public ServiceRequest {
		if (service == null || service.isEmpty() || method == null || path == null || !path.startsWith("/")) {
			throw new IllegalArgumentException("A service request needs a service, a method and a path that begins"
					+ " with a slash; path is " + path);
		}
		method = method.toUpperCase(Locale.ROOT);
		body = (body != null) ? body.clone() : new byte[0];
		contentType = (contentType != null) ? contentType : "application/json";
		boolean safe = "GET".equals(method) || "HEAD".equals(method);
		idempotencyKey = (idempotencyKey == null && !safe) ? UUID.randomUUID().toString() : idempotencyKey;
		if (timeoutMs < 0) {
			throw new IllegalArgumentException(
					"timeoutMs is " + timeoutMs + "; use 0 for the client's default or a positive number");
		}
	}

	/**
	 * Creates a GET request.
	 * @param service the service
	 * @param path the path below the service
	 * @return the request
	 */
	public static ServiceRequest get(String service, String path) {
		return new ServiceRequest(service, "GET", path, null, null, null, 0);
	}

	/**
	 * Creates a POST request with a JSON body.
	 * @param service the service
	 * @param path the path below the service
	 * @param body the body
	 * @param idempotencyKey the key, or null to have one generated
	 * @return the request
	 */
	public static ServiceRequest post(String service, String path, byte[] body, String idempotencyKey) {
		return new ServiceRequest(service, "POST", path, body, null, idempotencyKey, 0);
	}

	/**
	 * Returns a copy with another time limit.
	 * @param newTimeoutMs the time for the whole call in milliseconds, or 0 for the
	 * client's default
	 * @return the copy
	 */
	public ServiceRequest withTimeoutMs(long newTimeoutMs) {
		return new ServiceRequest(this.service, this.method, this.path, this.body, this.contentType,
				this.idempotencyKey, newTimeoutMs);
	}

	@Override
	public byte[] body() {
		return this.body.clone();
	}

}
