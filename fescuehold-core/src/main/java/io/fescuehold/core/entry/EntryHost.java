package io.fescuehold.core.entry;

/**
 * A host that serves callers.
 *
 * @param hostId the host id
 * @param address the address for callers, {@code ip:port}
 * @param failureDomain the failure domain
 * @param state whether the host takes new callers
 */
public record EntryHost(String hostId, String address, String failureDomain, State state) {

	/**
	 * Whether a host takes new callers.
	 */
	public enum State {

		/** The host takes callers. */
		LIVE,

		/** The host finishes its requests and is named in no new entry answer. */
		DRAINING,

		/** The host does not respond. */
		DEAD

	}

}
