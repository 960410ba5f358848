package io.fescuehold.core.routes;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Checks a configuration of routes before it is accepted. A configuration that breaks a
 * rule is refused with {@link ErrorCode#ROUTING_INVALID}, which names the field, the
 * value seen and the remedy.
 */
public final class RoutingRules {

	private RoutingRules() {
	}

	/**
	 * Checks a configuration.
	 * @param config the configuration
	 * @throws FescueholdException with code ROUTING_INVALID for the first rule that is
	 * broken
	 */
	public static void check(RoutingConfig config) {
		if (config.number() <= 0) {
			throw invalid("number", config.number(), "use a positive number");
		}
		Set<String> services = new HashSet<>();
		config.services().forEach((service) -> services.add(service.name()));
		Set<String> hostsAndPrefixes = new HashSet<>();
		for (Route route : config.routes()) {
			checkRoute(route, services);
			if (!hostsAndPrefixes.add(route.hostName() + " " + route.pathPrefix())) {
				throw invalid("route \"" + route.name() + "\"", route.hostName() + route.pathPrefix(),
						"use a host name and path prefix that no other route has");
			}
		}
		checkTeams(config.teams());
	}

	private static void checkRoute(Route route, Set<String> services) {
		String place = "route \"" + route.name() + "\"";
		if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
			throw invalid(place + " path prefix", route.pathPrefix(), "begin and end it with a slash");
		}
		if (route.timeoutMs() <= 0) {
			throw invalid(place + " timeout", route.timeoutMs(), "use a positive number of milliseconds");
		}
		long weights = 0;
		for (ServiceWeight target : route.services()) {
			if (!services.contains(target.service())) {
				throw invalid(place + " service", target.service(), "name one of the configured services");
			}
			if (target.weight() < 0) {
				throw invalid(place + " weight", target.weight(), "use 0 or more");
			}
			weights += target.weight();
		}
		if (weights == 0) {
			throw invalid(place + " weights", 0, "give at least one service a positive weight");
		}
	}

	private static void checkTeams(List<TeamAccess> teams) {
		Set<String> keys = new HashSet<>();
		for (TeamAccess team : teams) {
			for (String key : new HashSet<>(team.apiKeys())) {
				if (!keys.add(key)) {
					throw invalid("team \"" + team.name() + "\" key", "a key of another team",
							"give each team keys of its own");
				}
			}
		}
	}

	private static FescueholdException invalid(String place, Object value, String remedy) {
		return new FescueholdException(ErrorCode.ROUTING_INVALID, place, value, remedy);
	}

}
