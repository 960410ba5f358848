package io.fescuehold.core.routes;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Finds the route and the team of a request in one configuration.
 */
public final class RouteTable {

	private final RoutingConfig config;

	private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();

	private final Map<String, TeamAccess> teamsByKey = new HashMap<>();

	private final Map<String, RoutedService> services = new HashMap<>();

	/**
	 * Indexes a configuration.
	 * @param config the configuration
	 */
	public RouteTable(RoutingConfig config) {
		this.config = config;
		for (Route route : config.routes()) {
			this.routesByHost.computeIfAbsent(hostKey(route.hostName()), (host) -> new HashMap<>())
				.put(route.pathPrefix(), route);
		}
		config.teams().forEach((team) -> team.apiKeys().forEach((key) -> this.teamsByKey.put(key, team)));
		config.services().forEach((service) -> this.services.put(service.name(), service));
	}

	/**
	 * Returns the configuration.
	 * @return the configuration
	 */
	public RoutingConfig config() {
		return this.config;
	}

	/**
	 * Finds the route with the longest prefix of a path.
	 * @param hostName the host name of the request, possibly with a port
	 * @param path the path without its query
	 * @return the route, or null
	 */
	public Route find(String hostName, String path) {
		Map<String, Route> routes = (hostName != null) ? this.routesByHost.get(hostKey(hostName)) : null;
		if (routes == null) {
			return null;
		}
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			Route route = routes.get(path.substring(0, end + 1));
			if (route != null) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns whether requests of routes that are not open need a key.
	 * @return whether teams are configured
	 */
	public boolean requiresKeys() {
		return !this.config.teams().isEmpty();
	}

	/**
	 * Finds the team that holds a key.
	 * @param apiKey the key, or null
	 * @return the team, or null
	 */
	public TeamAccess teamOf(String apiKey) {
		return (apiKey != null) ? this.teamsByKey.get(apiKey) : null;
	}

	/**
	 * Finds a service.
	 * @param name the name
	 * @return the service, or null
	 */
	public RoutedService service(String name) {
		return this.services.get(name);
	}

	/**
	 * Returns the form in which host names are compared.
	 * @param hostName a host name, possibly with a port
	 * @return the host name in lower case without its port
	 */
	static String hostKey(String hostName) {
		int port = hostName.indexOf(':');
		return ((port >= 0) ? hostName.substring(0, port) : hostName).toLowerCase(Locale.ROOT);
	}

}
