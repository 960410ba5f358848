package io.fescuehold.core.limits;

import java.util.Objects;

/**
 * The limit that a server named in its newest known response, for other daemons.
 *
 * @param serverId the instance id of the server
 * @param limitPerS the requests a second that it takes from all daemons together, or null
 * if it names no limit any more
 * @param ageMs the time in milliseconds since the response
 */
public record RequestLimitUpdate(String serverId, Double limitPerS, long ageMs) {

	/**
	 * Checks the arguments.
	 */
	public RequestLimitUpdate {
		Objects.requireNonNull(serverId, "serverId");
	}

}
