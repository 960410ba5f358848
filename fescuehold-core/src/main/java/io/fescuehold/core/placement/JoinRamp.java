package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.fescuehold.config.ServerState;
import io.fescuehold.core.view.FleetView;

/**
 * The portion of its full weight that a server may receive. A server that joins, or that
 * returns after a failure, starts with an empty cache and takes work gradually.
 */
final class JoinRamp {

	private static final long RAMP_MS = 30_000;

	private static final double START = 0.1;

	private final Map<String, Long> joinedAtMs = new HashMap<>();

	private final Set<String> known = new HashSet<>();

	private boolean started;

	/**
	 * Learns the servers of a new view. Servers of the first view are not joining unless
	 * declared so, because a router that restarts has not seen them before.
	 * @param view the view
	 * @param nowMs the time in milliseconds
	 */
	void update(FleetView view, long nowMs) {
		Set<String> present = view.modelServers().keySet();
		this.known.retainAll(present);
		this.joinedAtMs.keySet().retainAll(present);
		view.modelServers().forEach((id, owned) -> {
			boolean isNew = this.known.add(id);
			if (isNew && (this.started || owned.spec().state() == ServerState.JOINING)) {
				this.joinedAtMs.put(id, nowMs);
			}
		});
		this.started = this.started || !present.isEmpty();
	}

	/**
	 * Returns the portion of the full weight.
	 * @param serverId the server
	 * @param returnedAtMs when the server's last hold-off ended, or a negative number
	 * @param nowMs the time in milliseconds
	 * @return a number from above 0 to 1
	 */
	double portion(String serverId, long returnedAtMs, long nowMs) {
		Long joined = this.joinedAtMs.isEmpty() ? null : this.joinedAtMs.get(serverId);
		double portion = (joined != null) ? rampAt(nowMs - joined) : 1;
		return (returnedAtMs >= 0) ? Math.min(portion, rampAt(nowMs - returnedAtMs)) : portion;
	}

	private static double rampAt(long elapsedMs) {
		return Math.clamp(START + (1 - START) * elapsedMs / RAMP_MS, START, 1);
	}

}
