package io.fescuehold.runtime.http;

import java.util.Map;

import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Serialises the calls to a placement policy.
 */
public final class SerialPlacement implements PlacementPolicy {

	private final PlacementPolicy policy;

	/**
	 * Wraps a policy.
	 * @param policy the policy, which must not be called by other code
	 */
	public SerialPlacement(PlacementPolicy policy) {
		this.policy = policy;
	}

	@Override
	public synchronized PlacementDecision place(PlacementRequest request, String share, FleetView view,
			Map<String, ServerLoad> loads, long nowMs) {
		return this.policy.place(request, share, view, loads, nowMs);
	}

	@Override
	public synchronized void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
		this.policy.finished(request, serverId, outcome, nowMs);
	}

	@Override
	public synchronized void cacheEvent(CacheEvent event, long nowMs) {
		this.policy.cacheEvent(event, nowMs);
	}

}
