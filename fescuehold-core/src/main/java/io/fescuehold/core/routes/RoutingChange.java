package io.fescuehold.core.routes;

import java.util.Objects;

/**
 * One difference between two configurations.
 *
 * @param place the route, service or team that differs, or the limits
 * @param field the field that differs, or null if the whole entry was added or removed
 * @param before the value before, or null if the entry was added
 * @param after the value after, or null if the entry was removed
 */
public record RoutingChange(String place, String field, String before, String after) {

	/**
	 * Checks the arguments.
	 */
	public RoutingChange {
		Objects.requireNonNull(place, "place");
	}

}
