package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses the server with the least reported load relative to its speed.
 */
final class LeastLoadedPolicy extends BaselinePolicy {

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		String best = usable.getFirst();
		for (String id : usable) {
			if (loadS(loads, id) < loadS(loads, best)) {
				best = id;
			}
		}
		return best;
	}

}
