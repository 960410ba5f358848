package io.fescuehold.bench.experiment.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.config.ServerState;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.view.FleetView;

/**
 * The servers of a view that a request may use.
 */
final class Servers {

	private FleetView seen;

	private List<String> usable = List.of();

	private final Map<String, Double> speeds = new HashMap<>();

	List<String> usable(FleetView view, PlacementRequest request) {
		if (view != this.seen) {
			this.seen = view;
			List<String> ids = new ArrayList<>();
			this.speeds.clear();
			view.modelServers().forEach((id, owned) -> {
				if (owned.spec().state() != ServerState.LEAVING) {
					ids.add(id);
					this.speeds.put(id, (double) owned.spec().tokensPerS());
				}
			});
			this.usable = ids;
		}
		if (request.excludedServerIds().isEmpty()) {
			return this.usable;
		}
		return this.usable.stream().filter((id) -> !request.excludedServerIds().contains(id)).toList();
	}

	/**
	 * Returns the speed of a server of the view last used.
	 * @param id the server
	 * @return the tokens per second
	 */
	double speed(String id) {
		return this.speeds.get(id);
	}

}
