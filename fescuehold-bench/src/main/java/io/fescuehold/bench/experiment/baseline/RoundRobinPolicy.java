package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses the servers in turn, starting at a place of its own.
 */
final class RoundRobinPolicy extends BaselinePolicy {

	private int next;

	RoundRobinPolicy(int start) {
		this.next = start;
	}

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		this.next++;
		return usable.get(Math.floorMod(this.next, usable.size()));
	}

}
