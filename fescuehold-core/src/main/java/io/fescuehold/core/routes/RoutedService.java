package io.fescuehold.core.routes;

import java.util.Objects;

/**
 * A service that routes refer to.
 *
 * @param name the name of the service
 * @param healthPath the path of its health check
 * @param maxConnections the connections that each of its servers accepts from all callers
 * @param engine the model engine of its servers, or null for a plain service
 * @param coldStart how its servers behave after a start, {@link ColdStart#NONE} if they
 * are ready at once
 */
public record RoutedService(String name, String healthPath, int maxConnections, EngineSpec engine,
		ColdStart coldStart) {

	/**
	 * Checks the arguments.
	 */
	public RoutedService {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(coldStart, "coldStart");
	}

	/**
	 * Creates a service whose servers are ready at once.
	 * @param name the name of the service
	 * @param healthPath the path of its health check
	 * @param maxConnections the connections that each of its servers accepts
	 * @param engine the model engine of its servers, or null for a plain service
	 */
	public RoutedService(String name, String healthPath, int maxConnections, EngineSpec engine) {
		this(name, healthPath, maxConnections, engine, ColdStart.NONE);
	}

}
