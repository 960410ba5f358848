package io.fescuehold.client;

import java.io.IOException;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * An error response of a router, usually an HTTP problem document.
 *
 * @param status the HTTP status
 * @param code the error code
 * @param run whether the request was run
 * @param detail what was refused
 * @param remedy what the caller can do
 * @param retryAfterMs the time in milliseconds after which a retry may succeed, or 0
 */
record Problem(int status, String code, RunStatus run, String detail, String remedy, long retryAfterMs) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long MS_PER_S = 1_000;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int FIRST_SERVER_ERROR = 500;

	/**
	 * Reads an error response. A body that is not a problem document yields the code
	 * {@code HTTP_<status>}.
	 * @param head the status and headers
	 * @param body the body
	 * @return the error
	 */
	static Problem read(WireSignal.Head head, byte[] body) {
		JsonNode json = parse(body);
		String code = json.path("code").asText("HTTP_" + head.status());
		String detail = json.path("detail")
			.asText(json.path("title").asText("The router responded with status " + head.status()));
		String remedy = json.path("remedy").asText("see the error code");
		return new Problem(head.status(), code.toUpperCase(Locale.ROOT), RunStatus.parse(json.path("run").asText()),
				detail, remedy, retryAfterMs(head.headers()));
	}

	private static JsonNode parse(byte[] body) {
		try {
			JsonNode json = MAPPER.readTree(body);
			return (json != null) ? json : MAPPER.createObjectNode();
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode();
		}
	}

	private static long retryAfterMs(HttpHeaders headers) {
		String value = headers.get("Retry-After");
		if (value == null) {
			return 0;
		}
		try {
			return Math.max(1, (long) (Double.parseDouble(value) * MS_PER_S));
		}
		catch (NumberFormatException ex) {
			return MS_PER_S;
		}
	}

	/**
	 * Returns whether another attempt may succeed: after the time in {@code Retry-After},
	 * or at another router if this one failed.
	 * @return whether the request may be retried
	 */
	boolean retryable() {
		return this.retryAfterMs > 0 || this.status >= FIRST_SERVER_ERROR || this.status == TOO_MANY_REQUESTS;
	}

	FescueholdClientException toException(RunStatus overallRun) {
		return new FescueholdClientException(this.code, overallRun, this.detail, this.remedy, this.retryAfterMs, null);
	}

}
