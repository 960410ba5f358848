package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.fescuehold.config.ServerState;
import io.fescuehold.core.view.FleetView;

/**
 * Slow start of servers: the fraction of its full weight that a server may receive. A
 * server that joins, or that returns after a failure, starts with an empty cache and
 * receives work gradually.
 */
final class SlowStart {

	private static final long RAMP_UP_MS = 30_000;

	private static final double INITIAL_FRACTION = 0.1;

	private final Map<String, Long> joinedAtMs = new HashMap<>();

	private final Set<String> knownIds = new HashSet<>();

	private boolean started;

	/**
	 * Updates the known servers from a new view. Servers of the first view do not ramp up
	 * unless their state is {@link ServerState#JOINING}, because to a restarted router
	 * every server is new.
	 * @param view the view
	 * @param nowMs the time in milliseconds
	 */
	void update(FleetView view, long nowMs) {
		Set<String> presentIds = view.modelServers().keySet();
		this.knownIds.retainAll(presentIds);
		this.joinedAtMs.keySet().retainAll(presentIds);
		view.modelServers().forEach((id, owned) -> {
			boolean isNew = this.knownIds.add(id);
			if (isNew && (this.started || owned.spec().state() == ServerState.JOINING)) {
				this.joinedAtMs.put(id, nowMs);
			}
		});
		this.started = this.started || !presentIds.isEmpty();
	}

	/**
	 * Returns the fraction of the full weight.
	 * @param serverId the server
	 * @param returnedAtMs when the server's last hold-off ended, or a negative number
	 * @param nowMs the time in milliseconds
	 * @return a number from above 0 to 1
	 */
	double weightFraction(String serverId, long returnedAtMs, long nowMs) {
		Long joinedMs = this.joinedAtMs.isEmpty() ? null : this.joinedAtMs.get(serverId);
		double weightFraction = (joinedMs != null) ? fractionAfter(nowMs - joinedMs) : 1;
		return (returnedAtMs >= 0) ? Math.min(weightFraction, fractionAfter(nowMs - returnedAtMs)) : weightFraction;
	}

	private static double fractionAfter(long elapsedMs) {
		return Math.clamp(INITIAL_FRACTION + (1 - INITIAL_FRACTION) * elapsedMs / RAMP_UP_MS, INITIAL_FRACTION, 1);
	}

}
