package io.fescuehold.core.entry;

import java.util.List;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;

/**
 * Chooses the daemons that a caller may connect to: those in its own failure domain if
 * one of them may fail without leaving the caller with none, else all that are ready.
 */
public final class NearestEntries {

	/** With two, the caller still has one if the other fails. */
	static final int MIN_NEAR_DAEMONS = 2;

	private NearestEntries() {
	}

	/**
	 * Chooses the daemons.
	 * @param hosts the live daemons
	 * @param failureDomain the failure domain of the caller, or null
	 * @return the daemons, empty if none is ready
	 */
	public static List<HostRecord> choose(List<HostRecord> hosts, String failureDomain) {
		List<HostRecord> ready = hosts.stream().filter((host) -> host.state() == HostState.READY).toList();
		List<HostRecord> near = ready.stream().filter((host) -> host.failureDomain().equals(failureDomain)).toList();
		return (near.size() >= MIN_NEAR_DAEMONS) ? near : ready;
	}

}
