package io.fescuehold.core.entry;

import java.util.List;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;

/**
 * Chooses the daemons that a caller may connect to: those of its own failure domain, as
 * long as one of them may fail without leaving the caller alone, else all that serve.
 */
public final class NearestEntries {

	/** With two, the caller still has one if the other fails. */
	static final int ENOUGH = 2;

	private NearestEntries() {
	}

	/**
	 * Chooses the daemons.
	 * @param hosts the live daemons
	 * @param failureDomain the failure domain of the caller, or null
	 * @return the daemons, none if none serves
	 */
	public static List<HostRecord> choose(List<HostRecord> hosts, String failureDomain) {
		List<HostRecord> serving = hosts.stream().filter((host) -> host.state() == HostState.READY).toList();
		List<HostRecord> near = serving.stream().filter((host) -> host.failureDomain().equals(failureDomain)).toList();
		return (near.size() >= ENOUGH) ? near : serving;
	}

}
