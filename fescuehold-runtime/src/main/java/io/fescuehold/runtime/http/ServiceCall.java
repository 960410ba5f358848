package io.fescuehold.runtime.http;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.fescuehold.config.ServiceSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.view.FleetView;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A service call as received.
 *
 * @param caller the headers that the router acts on
 * @param share the share that serves the team
 * @param method the HTTP method
 * @param path the request target
 * @param headers the headers that are passed on
 * @param body the body
 * @param deadlineAtMs the deadline in milliseconds since the epoch
 */
record ServiceCall(CallerRequest caller, String share, String method, ServicePath path, Map<String, String> headers,
		byte[] body, long deadlineAtMs) {

	private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "expect", "fescuehold-fencing-number", "fescuehold-attempt", "fescuehold-deadline-ms",
			"x-deadline-ms", "x-request-id");

	/**
	 * Returns the headers that are passed on in either direction.
	 * @param headers the headers as received
	 * @return the headers by lower-case name without those of the connection
	 */
	static Map<String, String> passedOn(HttpHeaders headers) {
		Map<String, String> passed = new HashMap<>();
		Set<String> named = Set
			.copyOf(Arrays.asList(headers.get("connection", "").toLowerCase(Locale.ROOT).split("\\s*,\\s*")));
		headers.forEach((entry) -> {
			String name = entry.getKey().toLowerCase(Locale.ROOT);
			if (isPassedOn(name) && !named.contains(name)) {
				passed.merge(name, entry.getValue(), (first, second) -> first + ", " + second);
			}
		});
		return passed;
	}

	/**
	 * Tells whether a header is passed on.
	 * @param name the name in lower case
	 * @return whether the header is not one of the connection
	 */
	static boolean isPassedOn(String name) {
		return !NOT_PASSED_ON.contains(name);
	}

	/**
	 * Returns the newest configuration of the service, so that a server that has begun to
	 * leave receives no new call.
	 * @param view the configuration in force
	 * @return the configuration of the service
	 * @throws FescueholdException with code UNKNOWN_SERVICE if the team's share has no
	 * such service
	 */
	ServiceSpec spec(FleetView view) {
		FleetView.Owned<ServiceSpec> owned = view.services().get(this.path.service());
		if (owned == null || !owned.share().equals(this.share)) {
			throw new FescueholdException(ErrorCode.UNKNOWN_SERVICE, this.path.service());
		}
		return owned.spec();
	}

	/**
	 * Returns the headers for a server.
	 * @param remainingMs the time left in milliseconds
	 * @param attempt the number of the attempt, beginning with 1
	 * @return the headers
	 */
	Map<String, String> headersFor(long remainingMs, int attempt) {
		Map<String, String> sent = new HashMap<>(this.headers);
		sent.put("x-request-id", this.caller.requestId());
		sent.put("x-deadline-ms", String.valueOf(remainingMs));
		if (attempt > 1) {
			sent.put("fescuehold-attempt", String.valueOf(attempt));
		}
		return sent;
	}

}
