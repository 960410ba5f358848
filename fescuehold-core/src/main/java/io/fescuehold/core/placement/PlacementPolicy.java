package io.fescuehold.core.placement;

import java.util.Map;

import io.fescuehold.core.view.FleetView;

/**
 * Chooses model servers for requests. Implementations keep bounded state about the
 * requests of their own router and are called by one thread at a time.
 */
public interface PlacementPolicy {

	/**
	 * Chooses a server and counts the request as outstanding there.
	 * @param request the request
	 * @param share the share that owns the request's team
	 * @param view the configuration in force
	 * @param loads the newest load reports by server id
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the decision
	 */
	PlacementDecision place(PlacementRequest request, String share, FleetView view, Map<String, ServerLoad> loads,
			long nowMs);

	/**
	 * Counts a request as no longer outstanding and records its outcome.
	 * @param request the request that was placed
	 * @param serverId the server that was chosen
	 * @param outcome how the request ended
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs);

	/**
	 * Records a cache event of a server. Events may arrive late or not at all.
	 * @param event the event
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void cacheEvent(CacheEvent event, long nowMs);

}
