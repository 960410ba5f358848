package io.fescuehold.core.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;

/**
 * Checks a configuration of routes before it is accepted. A configuration that breaks a
 * rule is refused with {@link ErrorCode#ROUTING_INVALID}, which names the field, the
 * value seen and the remedy.
 */
public final class RoutingRules {

	private final List<RoutingFinding> violations = new ArrayList<>();

	private RoutingRules() {
	}

	/**
	 * Checks a configuration.
	 * @param config the configuration
	 * @throws FescueholdException with code ROUTING_INVALID for the first rule that is
	 * broken
	 */
	public static void check(RoutingConfig config) {
		List<RoutingFinding> violations = violations(config);
		if (!violations.isEmpty()) {
			throw violations.getFirst().toRefusal();
		}
	}

	/**
	 * Lists all broken rules of a configuration.
	 * @param config the configuration
	 * @return the broken rules as errors, empty if the configuration is accepted
	 */
	public static List<RoutingFinding> violations(RoutingConfig config) {
		RoutingRules rules = new RoutingRules();
		rules.checkAll(config);
		return rules.violations;
	}

	/**
	 * Checks whether a configuration may replace the one in force. Routes that callers
	 * need a key for are not opened by leaving out all teams, which may be a mistake, but
	 * by declaring each of them open.
	 * @param inForce the configuration in force
	 * @param next the configuration that is to replace it
	 * @return the rule that is broken, or null
	 */
	public static RoutingFinding violationOfReplacement(RoutingConfig inForce, RoutingConfig next) {
		boolean opensRoutes = !inForce.teams().isEmpty() && next.teams().isEmpty()
				&& next.routes().stream().anyMatch((route) -> !route.open());
		if (next.number() <= inForce.number() || !opensRoutes) {
			return null;
		}
		return new RoutingFinding(
				RoutingFinding.Severity.ERROR, "teams", "empty although configuration " + inForce.number()
						+ " asks for the keys of " + inForce.teams().size() + " teams",
				"send the teams, or declare each route open");
	}

	private void checkAll(RoutingConfig config) {
		if (config.number() <= 0) {
			violated("number", config.number(), "use a positive number");
		}
		Set<String> services = new HashSet<>();
		config.services().forEach((service) -> services.add(service.name()));
		checkServices(config.services());
		Set<String> hostsAndPrefixes = new HashSet<>();
		for (Route route : config.routes()) {
			checkRoute(route, services);
			if (!hostsAndPrefixes.add(route.hostName() + " " + route.pathPrefix())) {
				violated("route \"" + route.name() + "\"", route.hostName() + route.pathPrefix(),
						"use a host name and path prefix that no other route has");
			}
		}
		checkTeams(config.teams());
	}

	private void checkServices(List<RoutedService> services) {
		Map<String, RoutedService> byName = new HashMap<>();
		for (RoutedService service : services) {
			RoutedService other = byName.putIfAbsent(service.name(), service);
			if (other != null && !other.equals(service)) {
				violated("service \"" + service.name() + "\"", "two services that differ", "use a name of its own");
			}
		}
	}

	private void checkRoute(Route route, Set<String> services) {
		String place = "route \"" + route.name() + "\"";
		if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
			violated(place + " path prefix", route.pathPrefix(), "begin and end it with a slash");
		}
		if (route.timeoutMs() <= 0) {
			violated(place + " timeout", route.timeoutMs(), "use a positive number of milliseconds");
		}
		long weights = 0;
		for (ServiceWeight target : route.services()) {
			if (!services.contains(target.service())) {
				violated(place + " service", target.service(), "name one of the configured services");
			}
			if (target.weight() < 0) {
				violated(place + " weight", target.weight(), "use 0 or more");
			}
			weights += target.weight();
		}
		if (weights == 0) {
			violated(place + " weights", 0, "give at least one service a positive weight");
		}
	}

	private void checkTeams(List<TeamAccess> teams) {
		Set<String> keys = new HashSet<>();
		for (TeamAccess team : teams) {
			for (String key : new HashSet<>(team.apiKeys())) {
				if (!keys.add(key)) {
					violated("team \"" + team.name() + "\" key", "a key of another team",
							"give each team keys of its own");
				}
			}
		}
	}

	private void violated(String place, Object seen, String remedy) {
		this.violations.add(new RoutingFinding(RoutingFinding.Severity.ERROR, place, String.valueOf(seen), remedy));
	}

}
