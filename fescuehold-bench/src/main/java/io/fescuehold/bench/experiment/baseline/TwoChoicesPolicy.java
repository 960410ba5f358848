package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses the less loaded of two servers drawn at random.
 */
final class TwoChoicesPolicy extends BaselinePolicy {

	private final SplittableRandom random;

	TwoChoicesPolicy(long seed) {
		this.random = new SplittableRandom(seed);
	}

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		String first = usable.get(this.random.nextInt(usable.size()));
		String second = usable.get(this.random.nextInt(usable.size()));
		return (loadS(loads, first) <= loadS(loads, second)) ? first : second;
	}

}
