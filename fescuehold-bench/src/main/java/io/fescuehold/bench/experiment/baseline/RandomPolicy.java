package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses a server at random.
 */
final class RandomPolicy extends BaselinePolicy {

	private final SplittableRandom random;

	RandomPolicy(long seed) {
		this.random = new SplittableRandom(seed);
	}

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		return usable.get(this.random.nextInt(usable.size()));
	}

}
