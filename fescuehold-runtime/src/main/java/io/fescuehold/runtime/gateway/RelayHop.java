package io.fescuehold.runtime.gateway;

import java.util.HashMap;
import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * What a host tells the host that passes its request on, and learns from the response.
 * These headers are exchanged between hosts only.
 *
 * @param attempts the number of attempts that the first host has made at servers
 * @param version the software version to which the stream is bound, or null
 */
record RelayHop(int attempts, String version) {

	/** The headers of responses, which callers do not get. */
	static final String RESPONSE_VERSION = "fescuehold-relay-version";

	/** The instance id of the server that responded. */
	static final String RESPONSE_SERVER = "fescuehold-relay-server";

	static final String RESPONSE_REFUSAL = "fescuehold-relay-refusal";

	private static final String REQUEST_ATTEMPTS = "fescuehold-relay-attempts";

	private static final String REQUEST_VERSION = "fescuehold-relay-version";

	static RelayHop read(HttpHeaders headers) {
		return new RelayHop(headers.getInt(REQUEST_ATTEMPTS, 0), headers.get(REQUEST_VERSION));
	}

	/**
	 * Removes the headers of this class from those that are forwarded.
	 * @param head the request as received from the first host
	 * @return the request as the caller sent it
	 */
	static CallerHead strip(CallerHead head) {
		Map<String, String> headers = new HashMap<>(head.headers());
		remove(headers);
		return new CallerHead(head.requestId(), head.hostName(), head.method(), head.uri(), head.apiKey(),
				head.deadlineMs(), head.resumeAfter(), head.resumes(), head.prompt(), headers);
	}

	private static void remove(Map<String, String> headers) {
		headers.keySet()
			.removeIf((name) -> name.equalsIgnoreCase(REQUEST_ATTEMPTS) || name.equalsIgnoreCase(REQUEST_VERSION));
	}

	/**
	 * Adds the headers of this class in place of those that the caller may have sent.
	 * @param headers the headers of the request to the other host
	 */
	void write(Map<String, String> headers) {
		remove(headers);
		headers.put(REQUEST_ATTEMPTS, String.valueOf(this.attempts));
		if (this.version != null) {
			headers.put(REQUEST_VERSION, this.version);
		}
	}

	static String encode(FescueholdException refusal) {
		return codeForAllVersions(refusal.code()).name() + "," + refusal.run().name() + "," + refusal.retryAfterMs();
	}

	// Daemons of earlier versions would take a code that they do not know for a failure.
	private static ErrorCode codeForAllVersions(ErrorCode code) {
		return switch (code) {
			case REQUEST_QUARANTINED -> ErrorCode.PROMPT_QUARANTINED;
			case REQUEST_CRASHES_SERVERS -> ErrorCode.PROMPT_CRASHES_SERVERS;
			case HOST_MEMORY_FULL -> ErrorCode.DRAINING;
			case DOMAIN_EVACUATED -> ErrorCode.OVERLOADED;
			case HEAD_TOO_LARGE -> ErrorCode.BODY_TOO_LARGE;
			default -> code;
		};
	}

	/**
	 * Parses the refusal of a host that was to pass a request on.
	 * @param headers the headers of its response, by lower-case name
	 * @param hostId the host
	 * @return the refusal, or null if the response is a server's
	 */
	static FescueholdException refusal(Map<String, String> headers, String hostId) {
		String[] parts = headers.getOrDefault(RESPONSE_REFUSAL, "").split(",");
		if (parts.length != 3) {
			return null;
		}
		String message = "Host " + hostId + ", which was to pass the request on, "
				+ (RunStatus.NO.name().equals(parts[1])
						? "refused it with " + parts[0] + "; retry after the time in the Retry-After header"
						: "ended it with " + parts[0] + "; retry if the request is idempotent");
		try {
			return FescueholdException.withMessage(ErrorCode.valueOf(parts[0]), RunStatus.valueOf(parts[1]),
					Long.parseLong(parts[2]), message);
		}
		catch (IllegalArgumentException ex) {
			return FescueholdException.withMessage(ErrorCode.SERVER_FAILED, RunStatus.UNKNOWN, 0, message);
		}
	}

	/**
	 * Returns whether a refusal has to do with the host and not with the request, so that
	 * another host may pass the request on.
	 * @param refusal the refusal of a host
	 * @return whether another host may be tried
	 */
	static boolean isRefusalOfHost(FescueholdException refusal) {
		return switch (refusal.code()) {
			case DRAINING, NO_SERVER, NO_ROUTE, UNKNOWN_KEY, ROUTING_STALE -> true;
			default -> false;
		};
	}

}
