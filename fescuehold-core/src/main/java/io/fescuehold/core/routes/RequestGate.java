package io.fescuehold.core.routes;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;

/**
 * Decides whether a request may be passed on under the configuration that is known. A
 * daemon that cannot prove that its configuration is recent neither honours a key, which
 * may have been revoked, nor denies a route or key, which may be new.
 */
public final class RequestGate {

	/**
	 * A daemon that starts or has lost the leader mostly has the newest within this time.
	 */
	static final long STALE_RETRY_MS = 1_000;

	/** Ages from here on mean that there was no confirmation at all. */
	private static final long NEVER_MS = 1L << 40;

	private final long keyAgeMs;

	private final long absenceAgeMs;

	/**
	 * Creates a gate.
	 * @param keyAgeMs the age in milliseconds of the configuration from which on keys are
	 * not honoured
	 * @param absenceAgeMs the age in milliseconds of the configuration from which on
	 * nothing is denied
	 */
	public RequestGate(long keyAgeMs, long absenceAgeMs) {
		this.keyAgeMs = keyAgeMs;
		this.absenceAgeMs = absenceAgeMs;
	}

	/**
	 * Decides on a request.
	 * @param table the configuration, or null if none is known
	 * @param ageMs the age in milliseconds of the newest proof that it is the newest
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
			return (ageMs < this.absenceAgeMs) ? refused(ErrorCode.NO_ROUTE, hostName, path) : stale(ageMs);
		}
		if (route.open() || !table.needsKeys()) {
			return new GateDecision.Admitted(route, null);
		}
		if (ageMs >= this.keyAgeMs) {
			return stale(ageMs);
		}
		TeamAccess team = table.teamOf(apiKey);
		if (team == null) {
			boolean mayBeNew = apiKey != null && ageMs >= this.absenceAgeMs;
			return mayBeNew ? stale(ageMs) : refused(ErrorCode.UNKNOWN_KEY);
		}
		return new GateDecision.Admitted(route, team);
	}

	private static GateDecision stale(long ageMs) {
		Object age = (ageMs < NEVER_MS) ? Math.max(0, ageMs) + " ms ago" : "never";
		return new GateDecision.Refused(
				FescueholdException.of(ErrorCode.ROUTING_STALE, RunStatus.NO, STALE_RETRY_MS, age));
	}

	private static GateDecision refused(ErrorCode code, Object... arguments) {
		return new GateDecision.Refused(new FescueholdException(code, arguments));
	}

}
