package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses the servers in turn, starting after a given position.
 */
final class RoundRobinPolicy extends BaselinePolicy {

	private int position;

	RoundRobinPolicy(int start) {
		this.position = start;
	}

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		this.position++;
		return usable.get(Math.floorMod(this.position, usable.size()));
	}

}
