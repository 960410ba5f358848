package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps work away from servers that failed. Each further failure after the end of a
 * hold-off doubles the next one, so that a flapping server does not pull its chats back
 * every time it returns.
 */
public final class FlapHoldOff {

	private static final long BASE_MS = 1_000;

	private static final int MAX_DOUBLINGS = 6;

	private static final long FORGET_MS = 300_000;

	private static final int MAX_SERVERS = 4_096;

	private final Map<String, Flaps> flaps = new HashMap<>();

	/**
	 * Records that a server failed or could not be reached.
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 */
	public void failed(String serverId, long nowMs) {
		Flaps previous = this.flaps.get(serverId);
		if (previous != null && nowMs < previous.untilMs) {
			return;
		}
		int count = (previous != null && nowMs - previous.untilMs < FORGET_MS) ? previous.count + 1 : 0;
		if (this.flaps.size() >= MAX_SERVERS) {
			this.flaps.values().removeIf((entry) -> nowMs - entry.untilMs >= FORGET_MS);
		}
		long holdOffMs = BASE_MS << Math.min(count, MAX_DOUBLINGS);
		this.flaps.put(serverId, new Flaps(count, nowMs + holdOffMs));
	}

	/**
	 * Tells whether a server is held off.
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 * @return whether the server receives no new work
	 */
	public boolean isHeldOff(String serverId, long nowMs) {
		return heldOffForMs(serverId, nowMs) > 0;
	}

	/**
	 * Returns how much longer a server is held off.
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds, 0 if the server is not held off
	 */
	public long heldOffForMs(String serverId, long nowMs) {
		if (this.flaps.isEmpty()) {
			return 0;
		}
		Flaps entry = this.flaps.get(serverId);
		return (entry != null) ? Math.max(0, entry.untilMs - nowMs) : 0;
	}

	/**
	 * Returns when the last hold-off of a server ended or will end.
	 * @param serverId the server
	 * @return the time in milliseconds, or a negative number if the server never failed
	 */
	long endOfHoldOffMs(String serverId) {
		Flaps entry = this.flaps.isEmpty() ? null : this.flaps.get(serverId);
		return (entry != null) ? entry.untilMs : -1;
	}

	private record Flaps(int count, long untilMs) {

	}

}
