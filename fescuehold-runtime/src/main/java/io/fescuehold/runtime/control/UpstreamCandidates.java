package io.fescuehold.runtime.control;

import java.util.List;

/**
 * Where a daemon obtains configurations.
 */
public interface UpstreamCandidates {

	/**
	 * Returns the daemons to fetch from.
	 * @return the host ids, the preferred one first; empty if this daemon has no upstream
	 */
	List<String> upstreams();

	/**
	 * Returns the daemons at the root of the distribution, which together know which
	 * numbers are in force where.
	 * @return the host ids
	 */
	List<String> roots();

}
