package io.fescuehold.core.routes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Examines a configuration of routes before it is submitted: the errors for which daemons
 * refuse it, the entries that no request can match and the limits that contradict each
 * other.
 */
public final class RoutingAdvice {

	private final RoutingConfig config;

	private final List<RoutingFinding> findings;

	private RoutingAdvice(RoutingConfig config) {
		this.config = config;
		this.findings = new ArrayList<>(RoutingRules.violations(config));
	}

	/**
	 * Examines a configuration.
	 * @param config the configuration
	 * @return the findings, errors first; it has an error exactly if
	 * {@link RoutingRules#check(RoutingConfig)} refuses the configuration
	 */
	public static List<RoutingFinding> of(RoutingConfig config) {
		RoutingAdvice advice = new RoutingAdvice(config);
		advice.checkNames();
		advice.checkMatches();
		advice.checkServices();
		advice.checkTeams();
		advice.findings.addAll(RoutingLimitAdvice.of(config));
		return advice.findings;
	}

	private void checkNames() {
		checkNames("route", this.config.routes(), Route::name,
				"use a name of its own; metrics and differences " + "show routes of one name as one");
		checkNames("service", this.config.services(), RoutedService::name,
				"use a name of its own; only the last service of a name is used");
		checkNames("team", this.config.teams(), TeamAccess::name,
				"use a name of its own; servers and differences see teams of one name as one");
	}

	private <T> void checkNames(String kind, List<T> entries, Function<T, String> name, String remedy) {
		Set<String> names = new HashSet<>();
		Set<String> reported = new HashSet<>();
		for (T entry : entries) {
			String entryName = name.apply(entry);
			if (!names.add(entryName) && reported.add(entryName)) {
				warn(kind + " \"" + entryName + "\" name", "the name of several entries", remedy);
			}
		}
	}

	private void checkMatches() {
		Map<String, Route> effective = new HashMap<>();
		this.config.routes().forEach((route) -> effective.put(matchKey(route), route));
		for (Route route : this.config.routes()) {
			checkHostName(route);
			checkPathPrefix(route);
			Route last = effective.get(matchKey(route));
			// Equal host names are an error already.
			if (!last.hostName().equals(route.hostName())) {
				warn(place(route) + " host name",
						route.hostName() + ", which is the same host as " + last.hostName() + " of route \""
								+ last.name() + "\" and hides this route",
						"remove one of the routes; letters of either case and ports make no difference");
			}
		}
	}

	private static String matchKey(Route route) {
		return RouteTable.hostKey(route.hostName()) + " " + route.pathPrefix();
	}

	private void checkHostName(Route route) {
		String hostName = route.hostName();
		String place = place(route) + " host name";
		// The address of an IPv6 literal is full of colons.
		if (hostName.startsWith("[")) {
			return;
		}
		if (hostName.matches("[A-Za-z0-9._-]+:[0-9]+")) {
			warn(place, hostName, "leave out the port; requests to each port match");
		}
		else if (!hostName.matches("[A-Za-z0-9._-]+")) {
			warn(place, "\"" + hostName + "\", which no request carries",
					"use a plain host name of ASCII letters, digits, dots and hyphens");
		}
	}

	private void checkPathPrefix(Route route) {
		if (route.pathPrefix().chars().anyMatch((letter) -> letter <= ' ' || letter == '?' || letter == '#')) {
			warn(place(route) + " path prefix",
					"\"" + route.pathPrefix() + "\", which no path of a request begins with",
					"remove blanks, queries and fragments; write them percent-encoded if the path holds them");
		}
	}

	private void checkServices() {
		Map<String, Long> weights = new HashMap<>();
		for (Route route : this.config.routes()) {
			for (ServiceWeight target : route.services()) {
				weights.merge(target.service(), (long) Math.max(0, target.weight()), Long::sum);
				if (target.weight() == 0) {
					warn(place(route) + " weight of service \"" + target.service() + "\"", "0",
							"remove the service from the route or give it a positive weight; it gets no request");
				}
			}
		}
		for (RoutedService service : this.config.services()) {
			Long weight = weights.get(service.name());
			if (weight == null) {
				warn("service \"" + service.name() + "\"", "not used by any route", "remove it or name it in a route");
			}
			else if (weight == 0) {
				warn("service \"" + service.name() + "\"", "used with weight 0 only",
						"remove it or give it a positive weight in a route");
			}
		}
	}

	private void checkTeams() {
		long usableKeys = 0;
		for (TeamAccess team : this.config.teams()) {
			String place = "team \"" + team.name() + "\" keys";
			Set<String> distinct = new HashSet<>(team.apiKeys());
			long unusable = distinct.stream().filter((key) -> !isUsable(key)).count();
			usableKeys += distinct.size() - unusable;
			if (distinct.isEmpty()) {
				warn(place, "empty", "add a key or remove the team; no request can belong to it");
			}
			if (unusable > 0) {
				warn(place, unusable + " of " + distinct.size() + " empty or with surrounding blanks",
						"remove the blanks; blanks around the key of a request are ignored, so these never match");
			}
			if (distinct.size() < team.apiKeys().size()) {
				warn(place, "the same key more than once", "list each key once");
			}
		}
		checkOpenRoutes(usableKeys);
	}

	private static boolean isUsable(String key) {
		return !key.isEmpty() && key.equals(key.strip());
	}

	private void checkOpenRoutes(long usableKeys) {
		List<Route> closed = this.config.routes().stream().filter((route) -> !route.open()).toList();
		if (this.config.teams().isEmpty()) {
			if (!closed.isEmpty()) {
				warn("teams", "empty although not all routes are open",
						"add teams, or declare the routes open; without teams no request needs a key");
			}
			return;
		}
		if (closed.isEmpty() && !this.config.routes().isEmpty()) {
			warn("teams", "without effect, since all routes are open", "remove the teams or close a route");
		}
		if (usableKeys == 0) {
			closed.forEach((route) -> warn(place(route), "not open, and no team has a key that matches",
					"add a key; each request of the route is refused"));
		}
	}

	private static String place(Route route) {
		return "route \"" + route.name() + "\"";
	}

	private void warn(String place, String seen, String remedy) {
		this.findings.add(new RoutingFinding(RoutingFinding.Severity.WARNING, place, seen, remedy));
	}

}
