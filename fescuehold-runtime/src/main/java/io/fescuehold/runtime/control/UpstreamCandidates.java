package io.fescuehold.runtime.control;

import java.util.List;

/**
 * The daemons from which a daemon fetches configurations.
 */
public interface UpstreamCandidates {

	/**
	 * Returns the daemons to fetch from.
	 * @return the host ids, the preferred one first; empty if this daemon has no upstream
	 */
	List<String> upstreams();

	/**
	 * Returns the daemons at the root of the distribution tree. Together they know the
	 * numbers in force at each daemon.
	 * @return the host ids
	 */
	List<String> roots();

}
