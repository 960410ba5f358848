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
 * @param headers the headers to forward
 * @param body the body
 * @param deadlineAtMs the deadline in milliseconds since the epoch
 */
record ServiceCall(CallerRequest caller, String share, String method, ServicePath path, Map<String, String> headers,
		byte[] body, long deadlineAtMs) {

	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"content-length", "expect", "fescuehold-fencing-number", "fescuehold-attempt", "fescuehold-deadline-ms",
			"x-deadline-ms", "x-request-id", "fescuehold-response-source");

	/**
	 * Returns the headers that are forwarded to the server.
	 * @param headers the headers as received
	 * @return the headers by lower-case name, without hop-by-hop headers and those that
	 * the router handles itself
	 */
	static Map<String, String> forwardedHeaders(HttpHeaders headers) {
		Map<String, String> forwarded = new HashMap<>();
		Set<String> connectionOptions = Set
			.copyOf(Arrays.asList(headers.get("connection", "").toLowerCase(Locale.ROOT).split("\\s*,\\s*")));
		headers.forEach((entry) -> {
			String name = entry.getKey().toLowerCase(Locale.ROOT);
			if (isForwarded(name) && !connectionOptions.contains(name)) {
				forwarded.merge(name, entry.getValue(), (first, second) -> first + ", " + second);
			}
		});
		return forwarded;
	}

	/**
	 * Tells whether a header is forwarded, in either direction.
	 * @param name the name in lower case
	 * @return false for hop-by-hop headers and those that the router handles itself
	 */
	static boolean isForwarded(String name) {
		return !NOT_FORWARDED.contains(name);
	}

	/**
	 * Returns the newest configuration of the service, so that a server whose state has
	 * changed to leaving receives no new call.
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
	 * Returns the headers of the request to a server.
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
