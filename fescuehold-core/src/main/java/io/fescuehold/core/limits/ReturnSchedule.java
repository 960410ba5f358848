package io.fescuehold.core.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * When refused callers are asked to return: one after the other in the order of their
 * refusals, at the rate at which they can be served.
 */
public final class ReturnSchedule {

	private final Map<String, Long> nextReturnAtMs = new HashMap<>();

	/**
	 * Returns when the next refused caller of a service is asked to return.
	 * @param service the service
	 * @param earliestMs the time in milliseconds before which no caller is served
	 * @param stepMs the time in milliseconds from one caller to the next
	 * @param minMs the shortest time in milliseconds after the earliest one
	 * @param maxMs the longest time in milliseconds after the earliest one
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds
	 */
	public long returnAtMs(String service, long earliestMs, long stepMs, long minMs, long maxMs, long nowMs) {
		long returnAtMs = Math.max(earliestMs, this.nextReturnAtMs.getOrDefault(service, nowMs)) + stepMs;
		returnAtMs = Math.clamp(returnAtMs, earliestMs + minMs, earliestMs + Math.max(minMs, maxMs));
		// A caller with little time left does not bring the later ones forward.
		this.nextReturnAtMs.merge(service, returnAtMs, Math::max);
		return returnAtMs;
	}

}
