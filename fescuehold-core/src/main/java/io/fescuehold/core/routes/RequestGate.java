package io.fescuehold.core.routes;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;

/**
 * Decides whether a request may be forwarded under the configuration that is known. A
 * daemon that cannot confirm that its configuration is recent neither honours a key,
 * which may have been revoked, nor denies a route or key, which may be new.
 */
public final class RequestGate {

	/**
	 * A daemon that is starting or has lost the leader usually obtains the newest
	 * configuration within this time.
	 */
	static final long STALE_RETRY_MS = 1_000;

	/** From this age on, the configuration has never been confirmed. */
	private static final long NEVER_CONFIRMED_MS = 1L << 40;

	private final long keyAgeLimitMs;

	private final long absenceAgeLimitMs;

	/**
	 * Creates a gate.
	 * @param keyAgeLimitMs the age in milliseconds of the configuration from which on
	 * keys are not honoured
	 * @param absenceAgeLimitMs the age in milliseconds of the configuration from which on
	 * unknown routes and keys are not denied
	 */
	public RequestGate(long keyAgeLimitMs, long absenceAgeLimitMs) {
		this.keyAgeLimitMs = keyAgeLimitMs;
		this.absenceAgeLimitMs = absenceAgeLimitMs;
	}

	/**
	 * Decides on a request.
	 * @param table the configuration, or null if none is known
	 * @param ageMs the time in milliseconds since the configuration was last confirmed as
	 * the newest
	 * @param hostName the host name, or null
	 * @param path the path without its query
	 * @param apiKey the key, or null
	 * @return the decision
	 */
	public GateDecision decide(RouteTable table, long ageMs, String hostName, String path, String apiKey) {
		if (table == null) {
			return stale(ageMs);
		}
		Route route = table.find(hostName, path);
		if (route == null) {
			return (ageMs < this.absenceAgeLimitMs) ? refused(ErrorCode.NO_ROUTE, hostName, path) : stale(ageMs);
		}
		if (route.open() || !table.requiresKeys()) {
			return new GateDecision.Admitted(route, null);
		}
		if (ageMs >= this.keyAgeLimitMs) {
			return stale(ageMs);
		}
		TeamAccess team = table.teamOf(apiKey);
		if (team == null) {
			boolean mayBeNew = apiKey != null && ageMs >= this.absenceAgeLimitMs;
			return mayBeNew ? stale(ageMs) : refused(ErrorCode.UNKNOWN_KEY);
		}
		return new GateDecision.Admitted(route, team);
	}

	private static GateDecision stale(long ageMs) {
		Object age = (ageMs < NEVER_CONFIRMED_MS) ? Math.max(0, ageMs) + " ms ago" : "never";
		return new GateDecision.Refused(
				FescueholdException.of(ErrorCode.ROUTING_STALE, RunStatus.NO, STALE_RETRY_MS, age));
	}

	private static GateDecision refused(ErrorCode code, Object... arguments) {
		return new GateDecision.Refused(new FescueholdException(code, arguments));
	}

}
