package io.fescuehold.bench.experiment.baseline;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.config.ServerState;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.view.FleetView;

/**
 * Determines the servers that a request may use and caches them until the view changes.
 */
final class UsableServers {

	private FleetView cachedView;

	private List<String> usable = List.of();

	private final Map<String, Double> tokensPerSByServerId = new HashMap<>();

	List<String> usable(FleetView view, PlacementRequest request) {
		if (view != this.cachedView) {
			this.cachedView = view;
			List<String> ids = new ArrayList<>();
			this.tokensPerSByServerId.clear();
			view.modelServers().forEach((id, owned) -> {
				if (owned.spec().state() != ServerState.LEAVING) {
					ids.add(id);
					this.tokensPerSByServerId.put(id, (double) owned.spec().tokensPerS());
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
	 * Returns the speed of a server of the last view passed to {@link #usable}.
	 * @param id the id of the server
	 * @return the speed in tokens per second
	 */
	double tokensPerS(String id) {
		return this.tokensPerSByServerId.get(id);
	}

}
