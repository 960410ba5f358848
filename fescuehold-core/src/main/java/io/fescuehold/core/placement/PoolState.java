package io.fescuehold.core.placement;

import java.util.Map;

import io.fescuehold.core.view.FleetView;

/**
 * The servers of a pool with the router's estimates, for one view.
 */
final class PoolState {

	/** Load digests arrive no more often, so the estimates need no shorter interval. */
	private static final long REFRESH_INTERVAL_MS = 250;

	private final FleetView view;

	private final ServerPool servers;

	private final LoadEstimator loads;

	private final double[] weightFractions;

	private final long[] heldOffUntilMs;

	private final double loadBound;

	private long refreshedAtMs = Long.MIN_VALUE / 2;

	PoolState(FleetView view, String share, String model, PoolState earlier, PlacementTuning tuning) {
		this.view = view;
		this.servers = ServerPool.of(view, share, model);
		this.loads = new LoadEstimator(this.servers, tuning);
		this.weightFractions = new double[this.servers.size()];
		this.heldOffUntilMs = new long[this.servers.size()];
		this.loadBound = view.shares().get(share).policy().loadBound();
		if (earlier != null) {
			this.loads.copyOwnWork(earlier.loads);
		}
	}

	void refresh(Map<String, ServerLoad> reports, SlowStart slowStart, FlapHoldOff holdOffs, int routerCount,
			long nowMs) {
		if (nowMs - this.refreshedAtMs < REFRESH_INTERVAL_MS) {
			return;
		}
		this.refreshedAtMs = nowMs;
		for (int index = 0; index < this.servers.size(); index++) {
			String id = this.servers.id(index);
			this.heldOffUntilMs[index] = holdOffs.endOfHoldOffMs(id);
			this.weightFractions[index] = slowStart.weightFraction(id, this.heldOffUntilMs[index], nowMs);
		}
		this.loads.refresh(reports, this.weightFractions, routerCount, nowMs);
	}

	/**
	 * Applies a new hold-off immediately, without refreshing the estimates.
	 * @param serverId the server
	 * @param holdOffs the hold-offs
	 */
	void holdOff(String serverId, FlapHoldOff holdOffs) {
		int index = this.servers.indexOf(serverId);
		if (index >= 0) {
			this.heldOffUntilMs[index] = holdOffs.endOfHoldOffMs(serverId);
		}
	}

	boolean isFor(FleetView other) {
		return this.view == other;
	}

	ServerPool servers() {
		return this.servers;
	}

	LoadEstimator loads() {
		return this.loads;
	}

	double loadBound() {
		return this.loadBound;
	}

	boolean isHeldOff(int index, long nowMs) {
		return this.heldOffUntilMs[index] > nowMs;
	}

	/**
	 * Tells whether a server may receive a request.
	 * @param index the server
	 * @param request the request
	 * @param nowMs the time in milliseconds
	 * @return whether the server is not leaving, held off, excluded or full
	 */
	boolean isUsable(int index, PlacementRequest request, long nowMs) {
		return !this.servers.isLeaving(index) && !isHeldOff(index, nowMs)
				&& !request.excludedServerIds().contains(this.servers.id(index)) && !this.loads.isAtRequestLimit(index);
	}

}
