package io.fescuehold.core.routes;

/**
 * How the servers of a service behave after a start.
 *
 * @param durationMs the time in milliseconds for which a started server is cold
 * @param requestsPerS the requests a second that a cold server tolerates from all daemons
 * together, or 0 if it tolerates any number
 */
public record ColdStart(long durationMs, double requestsPerS) {

	/** Servers that are never cold. */
	public static final ColdStart NONE = new ColdStart(0, 0);

	/**
	 * Checks the arguments.
	 */
	public ColdStart {
		durationMs = Math.max(0, durationMs);
		requestsPerS = Double.isFinite(requestsPerS) ? Math.max(0, requestsPerS) : 0;
	}

	/**
	 * Returns whether cold servers limit their requests.
	 * @return whether there is a limit
	 */
	public boolean isLimited() {
		return this.requestsPerS > 0;
	}

}
