package io.fescuehold.bench.experiment.baseline;

import java.util.ArrayList;
import java.util.List;

import io.fescuehold.config.ServerState;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.view.FleetView;

/**
 * The servers of a view that a request may use.
 */
final class Servers {

	private FleetView seen;

	private List<String> usable = List.of();

	private List<Long> speeds = List.of();

	List<String> usable(FleetView view, PlacementRequest request) {
		if (view != this.seen) {
			this.seen = view;
			List<String> ids = new ArrayList<>();
			List<Long> tokensPerS = new ArrayList<>();
			view.modelServers().forEach((id, owned) -> {
				if (owned.spec().state() != ServerState.LEAVING) {
					ids.add(id);
					tokensPerS.add(owned.spec().tokensPerS());
				}
			});
			this.usable = ids;
			this.speeds = tokensPerS;
		}
		if (request.excludedServerIds().isEmpty()) {
			return this.usable;
		}
		return this.usable.stream().filter((id) -> !request.excludedServerIds().contains(id)).toList();
	}

	double speed(FleetView view, String id) {
		int index = this.usable.indexOf(id);
		return (index >= 0) ? this.speeds.get(index) : view.modelServers().get(id).spec().tokensPerS();
	}

}
