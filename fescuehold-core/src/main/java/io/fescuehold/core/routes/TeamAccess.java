package io.fescuehold.core.routes;

import java.util.List;
import java.util.Objects;

/**
 * A team and the keys that its callers present.
 *
 * @param name the name of the team
 * @param apiKeys the keys in force
 * @param priority the rank of its requests, 0 is the most urgent, or null to use the
 * route's
 */
public record TeamAccess(String name, List<String> apiKeys, Integer priority) {

	/** The largest priority of teams that is told apart. */
	public static final int LEAST_URGENT = 3;

	/**
	 * Checks the arguments and copies the list.
	 */
	public TeamAccess {
		Objects.requireNonNull(name, "name");
		apiKeys = List.copyOf(apiKeys);
	}

}
