package io.fescuehold.core.routes;

import java.util.List;
import java.util.Objects;

/**
 * A complete configuration of routes. The configuration with the highest number is in
 * force.
 *
 * @param number the number, which grows with each change
 * @param routes the routes
 * @param services the services
 * @param limits the limits on requests and connections of callers
 * @param teams the teams, empty if requests need no key
 */
public record RoutingConfig(long number, List<Route> routes, List<RoutedService> services, CallerLimits limits,
		List<TeamAccess> teams) {

	/**
	 * Checks the arguments and copies the lists.
	 */
	public RoutingConfig {
		Objects.requireNonNull(limits, "limits");
		routes = List.copyOf(routes);
		services = List.copyOf(services);
		teams = List.copyOf(teams);
	}

}
