package io.fescuehold.config;

/**
 * A backend server of a plain service.
 *
 * @param host the IP address of the server's host
 * @param port the HTTP port
 * @param failureDomain the failure domain of the host
 * @param state the life-cycle state
 * @param checksFencing whether the server rejects calls with an outdated fencing number
 */
public record ServiceServerSpec(String host, int port, String failureDomain, ServerState state, boolean checksFencing) {

	public ServiceServerSpec {
		Checks.name("host", host);
		Checks.inRange("port", port, 1, Checks.MAX_PORT);
		Checks.name("failureDomain", failureDomain);
		Checks.required("state", state);
	}

	/**
	 * Returns a copy in another state.
	 * @param newState the state of the copy
	 * @return the copy
	 */
	public ServiceServerSpec withState(ServerState newState) {
		return new ServiceServerSpec(this.host, this.port, this.failureDomain, newState, this.checksFencing);
	}

}
