package io.fescuehold.runtime.gateway;

import java.util.Map;
import java.util.Objects;

import io.fescuehold.core.prompt.PromptShape;

/**
 * Request line and headers of a caller's request.
 *
 * @param requestId the id of this attempt of the caller, which identifies it in log lines
 * @param hostName the host name, or null
 * @param method the HTTP method
 * @param uri the path and query as received
 * @param apiKey the API key, or null
 * @param deadlineMs the time in milliseconds for which the caller waits, or 0 if unknown
 * @param resumeAfter the position after which a stream continues, or 0
 * @param resumes the id of the caller's attempt that brought the first event of the
 * stream that this one takes up, or null
 * @param prompt the shape of the prompt, or null
 * @param headers the headers that are forwarded
 */
public record CallerHead(String requestId, String hostName, String method, String uri, String apiKey, long deadlineMs,
		long resumeAfter, String resumes, PromptShape prompt, Map<String, String> headers) {

	private static final int DEFAULT_BODY_TIMEOUT_MS = 60_000;

	/**
	 * Checks the arguments and copies the map.
	 */
	public CallerHead {
		Objects.requireNonNull(requestId, "requestId");
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns whether the request continues a stream of an earlier attempt.
	 * @return whether some of the stream's events may have reached the caller
	 */
	public boolean takesUp() {
		return this.resumes != null || this.resumeAfter > 0;
	}

	/**
	 * Returns the id of the stream, which stays the same when the caller takes it up.
	 * @return the id of the attempt that brought the first event, or of this one; empty
	 * if the caller names none
	 */
	public String streamId() {
		return (this.resumes != null) ? this.resumes : this.requestId;
	}

	/**
	 * Returns how long the body of the request may take to arrive.
	 * @return the time in milliseconds
	 */
	int bodyTimeoutMs() {
		return (this.deadlineMs > 0) ? (int) Math.min(this.deadlineMs, Integer.MAX_VALUE) : DEFAULT_BODY_TIMEOUT_MS;
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.uri.indexOf('?');
		return (query >= 0) ? this.uri.substring(0, query) : this.uri;
	}

}
