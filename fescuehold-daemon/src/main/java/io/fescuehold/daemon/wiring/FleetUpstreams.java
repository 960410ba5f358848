package io.fescuehold.daemon.wiring;

import java.util.List;

import io.fescuehold.core.relay.RelayTree;
import io.fescuehold.runtime.control.UpstreamCandidates;
import io.fescuehold.runtime.fleet.HostDirectory;

/**
 * Determines from which daemons this one obtains configurations, using a relay tree over
 * the live daemons.
 */
final class FleetUpstreams implements UpstreamCandidates {

	private final String hostId;

	private final HostDirectory hosts;

	/**
	 * Creates the candidates.
	 * @param hostId the id of this host
	 * @param hosts the daemons
	 */
	FleetUpstreams(String hostId, HostDirectory hosts) {
		this.hostId = hostId;
		this.hosts = hosts;
	}

	@Override
	public List<String> upstreams() {
		RelayTree tree = new RelayTree(this.hosts.alive());
		List<String> upstreams = tree.upstream(this.hostId);
		// A root obtains shares of which it holds no replica from the other roots.
		return upstreams.isEmpty() ? tree.roots().stream().filter((root) -> !root.equals(this.hostId)).toList()
				: upstreams;
	}

	@Override
	public List<String> roots() {
		return new RelayTree(this.hosts.alive()).roots();
	}

}
