package io.fescuehold.runtime.control;

import java.util.List;

/**
 * A fixed list of configuration sources, for fleets whose daemons are all listed in the
 * settings.
 *
 * @param upstreams the daemons to fetch from, the preferred one first
 * @param roots the daemons at the root of the distribution tree
 */
public record FixedCandidates(List<String> upstreams, List<String> roots) implements UpstreamCandidates {

	public FixedCandidates {
		upstreams = List.copyOf(upstreams);
		roots = List.copyOf(roots);
	}

}
