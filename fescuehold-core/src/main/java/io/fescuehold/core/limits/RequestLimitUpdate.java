package io.fescuehold.core.limits;

import java.util.Objects;

/**
 * What a server has last been known to take, for other daemons: the limit in its newest
 * known response, and its newest known rejection if it is brittle.
 *
 * @param serverId the instance id of the server
 * @param limitPerS the requests a second that it takes from all daemons together, or null
 * if it names no limit any more
 * @param ageMs the time in milliseconds since the response
 * @param rejectionsPerS the rejections a second that the server bears, or null if it has
 * not rejected a request since it became brittle
 * @param rejectedAgeMs the time in milliseconds since the rejection
 */
public record RequestLimitUpdate(String serverId, Double limitPerS, long ageMs, Double rejectionsPerS,
		long rejectedAgeMs) {

	/**
	 * Checks the arguments.
	 */
	public RequestLimitUpdate {
		Objects.requireNonNull(serverId, "serverId");
	}

}
