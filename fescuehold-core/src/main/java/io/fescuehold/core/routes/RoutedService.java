package io.fescuehold.core.routes;

import java.util.Objects;

/**
 * A service that routes refer to.
 *
 * @param name the name of the service
 * @param healthPath the path of its health check
 * @param maxConnections the connections that each of its servers accepts from all callers
 * @param engine the model engine of its servers, or null for a plain service
 */
public record RoutedService(String name, String healthPath, int maxConnections, EngineSpec engine) {

	/**
	 * Checks the arguments.
	 */
	public RoutedService {
		Objects.requireNonNull(name, "name");
	}

}
