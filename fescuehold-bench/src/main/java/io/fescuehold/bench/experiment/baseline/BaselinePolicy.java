package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Base class of policies that ignore finished requests and cache events.
 */
abstract class BaselinePolicy implements PlacementPolicy {

	private final UsableServers servers = new UsableServers();

	@Override
	public final PlacementDecision place(PlacementRequest request, String share, FleetView view,
			Map<String, ServerLoad> loads, long nowMs) {
		List<String> usable = this.servers.usable(view, request);
		if (usable.isEmpty()) {
			return new PlacementDecision.Full(1_000);
		}
		return new PlacementDecision.Chosen(choose(usable, request, view, loads), 0, null, "baseline");
	}

	abstract String choose(List<String> usable, PlacementRequest request, FleetView view,
			Map<String, ServerLoad> loads);

	final double tokensPerS(String id) {
		return this.servers.tokensPerS(id);
	}

	final double loadS(Map<String, ServerLoad> loads, String id) {
		ServerLoad load = loads.get(id);
		return (load != null) ? load.outstandingTokens() / tokensPerS(id) : 0;
	}

	@Override
	public void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
	}

	@Override
	public void cacheEvent(CacheEvent event, long nowMs) {
	}

}
