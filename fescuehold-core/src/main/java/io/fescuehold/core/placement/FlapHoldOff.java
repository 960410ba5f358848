package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Holds new work off servers that failed. Each further failure after the end of a
 * hold-off doubles the next one, so that a flapping server does not regain its chats each
 * time it comes back.
 */
public final class FlapHoldOff {

	private static final long FIRST_HOLD_OFF_MS = 1_000;

	private static final int MAX_DOUBLINGS = 6;

	private static final long RESET_AFTER_MS = 300_000;

	private static final int MAX_SERVERS = 4_096;

	private final Map<String, HoldOff> holdOffs = new HashMap<>();

	/**
	 * Records that a server failed or could not be reached.
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 */
	public void failed(String serverId, long nowMs) {
		HoldOff previous = this.holdOffs.get(serverId);
		if (previous != null && nowMs < previous.untilMs) {
			return;
		}
		int repeats = (previous != null && nowMs - previous.untilMs < RESET_AFTER_MS) ? previous.repeats + 1 : 0;
		if (this.holdOffs.size() >= MAX_SERVERS) {
			this.holdOffs.values().removeIf((holdOff) -> nowMs - holdOff.untilMs >= RESET_AFTER_MS);
		}
		long holdOffMs = FIRST_HOLD_OFF_MS << Math.min(repeats, MAX_DOUBLINGS);
		this.holdOffs.put(serverId, new HoldOff(repeats, nowMs + holdOffMs));
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
		if (this.holdOffs.isEmpty()) {
			return 0;
		}
		HoldOff holdOff = this.holdOffs.get(serverId);
		return (holdOff != null) ? Math.max(0, holdOff.untilMs - nowMs) : 0;
	}

	/**
	 * Returns when the last hold-off of a server ended or will end.
	 * @param serverId the server
	 * @return the time in milliseconds, or a negative number if the server never failed
	 */
	long endOfHoldOffMs(String serverId) {
		HoldOff holdOff = this.holdOffs.isEmpty() ? null : this.holdOffs.get(serverId);
		return (holdOff != null) ? holdOff.untilMs : -1;
	}

	private record HoldOff(int repeats, long untilMs) {

	}

}
