package io.fescuehold.runtime.admin;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * A response of the administration API.
 *
 * @param status the HTTP status
 * @param contentType the content type
 * @param headers further headers
 * @param body an object that Jackson serialises as JSON, or a string that is sent
 * unchanged
 */
record AdminAnswer(int status, String contentType, Map<String, String> headers, Object body) {

	static final int OK = 200;

	static final int ACCEPTED = 202;

	private static final String JSON = "application/json";

	private static final String PROBLEM = "application/problem+json";

	private static final int MS_PER_S = 1_000;

	static AdminAnswer json(int status, Object body) {
		return new AdminAnswer(status, JSON, Map.of(), body);
	}

	static AdminAnswer json(Object body, Map<String, String> headers) {
		return new AdminAnswer(OK, JSON, headers, body);
	}

	/**
	 * Creates the problem details (RFC 9457) of an error.
	 * @param error the error
	 * @return the response
	 */
	static AdminAnswer problem(FescueholdException error) {
		Map<String, String> headers = new LinkedHashMap<>();
		if (error.retryAfterMs() > 0) {
			headers.put("Retry-After", Long.toString(Math.ceilDiv(error.retryAfterMs(), MS_PER_S)));
		}
		if (error.code() == ErrorCode.NOT_AUTHORISED) {
			headers.put("WWW-Authenticate", "Bearer");
		}
		String run = error.run().name().toLowerCase(Locale.ROOT);
		return problem(error.code(), error.getMessage(), Map.of("run", run), headers);
	}

	/**
	 * Creates the problem details (RFC 9457) of a request that was not executed.
	 * @param code the error code
	 * @param detail the message with the invalid value and, after the last "; ", the
	 * remedy
	 * @param extras further properties
	 * @return the response
	 */
	static AdminAnswer problem(ErrorCode code, String detail, Map<String, ?> extras) {
		return problem(code, detail, extras, Map.of());
	}

	private static AdminAnswer problem(ErrorCode code, String detail, Map<String, ?> extras,
			Map<String, String> headers) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("type", "about:blank");
		body.put("title", code.name().toLowerCase(Locale.ROOT).replace('_', ' '));
		body.put("status", code.httpStatus());
		body.put("code", code.name());
		body.put("detail", detail);
		int remedy = detail.lastIndexOf("; ");
		if (remedy >= 0) {
			body.put("remedy", detail.substring(remedy + "; ".length()));
		}
		body.put("run", "no");
		body.putAll(extras);
		return new AdminAnswer(code.httpStatus(), PROBLEM, headers, body);
	}

}
