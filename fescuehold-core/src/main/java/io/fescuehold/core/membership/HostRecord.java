package io.fescuehold.core.membership;

import java.util.Objects;

/**
 * Description that a daemon of the fleet publishes about itself.
 *
 * @param hostId the host id, which is the IP address at which other daemons reach it
 * @param failureDomain the failure domain
 * @param incarnation a number that differs for each start of the process and grows
 * @param storeId the id of its store, or null if the host has no disk
 * @param state the serving state
 */
public record HostRecord(String hostId, String failureDomain, long incarnation, String storeId, HostState state) {

	/**
	 * The store id of a host whose store is not opened yet and may still form a group.
	 */
	public static final String UNFORMED = "unformed";

	/**
	 * Checks the arguments.
	 */
	public HostRecord {
		Objects.requireNonNull(hostId, "hostId");
		Objects.requireNonNull(failureDomain, "failureDomain");
		Objects.requireNonNull(state, "state");
	}

	/**
	 * Returns whether the host may replicate.
	 * @return whether it has a store
	 */
	public boolean hasStore() {
		return this.storeId != null;
	}

	/**
	 * Returns whether the host belongs to a group or can be added to one.
	 * @return whether it has an opened store
	 */
	public boolean isFormed() {
		return hasStore() && !UNFORMED.equals(this.storeId);
	}

}
