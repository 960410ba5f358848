package io.fescuehold.core.routes;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Compares two configurations field by field. Keys are counted and never shown, because
 * the result is shown on terminals and copied into tickets.
 */
public final class RoutingDiff {

	private RoutingDiff() {
	}

	/**
	 * Lists the differences.
	 * @param before the configuration before
	 * @param after the configuration after
	 * @return the differences by place, empty if both have the same effect
	 */
	public static List<RoutingChange> between(RoutingConfig before, RoutingConfig after) {
		List<RoutingChange> changes = new ArrayList<>();
		compare("route", byName(before.routes(), Route::name), byName(after.routes(), Route::name), RoutingDiff::fields,
				changes);
		compare("service", byName(before.services(), RoutedService::name),
				byName(after.services(), RoutedService::name), RoutingDiff::fields, changes);
		compare("limits", Map.of("", before.limits()), Map.of("", after.limits()), RoutingDiff::fields, changes);
		compareTeams(byName(before.teams(), TeamAccess::name), byName(after.teams(), TeamAccess::name), changes);
		return changes;
	}

	private static <T> void compare(String kind, Map<String, T> before, Map<String, T> after,
			Function<T, Map<String, Object>> fields, List<RoutingChange> changes) {
		for (String name : names(before, after)) {
			String place = name.isEmpty() ? kind : kind + " \"" + name + "\"";
			T old = before.get(name);
			T current = after.get(name);
			if (old == null || current == null) {
				changes.add(new RoutingChange(place, null, (old != null) ? text(fields.apply(old)) : null,
						(current != null) ? text(fields.apply(current)) : null));
				continue;
			}
			Map<String, Object> newFields = fields.apply(current);
			fields.apply(old).forEach((field, value) -> {
				if (!Objects.equals(value, newFields.get(field))) {
					changes.add(new RoutingChange(place, field, text(value), text(newFields.get(field))));
				}
			});
		}
	}

	private static void compareTeams(Map<String, TeamAccess> before, Map<String, TeamAccess> after,
			List<RoutingChange> changes) {
		compare("team", before, after, (team) -> fields("priority", team.priority()), changes);
		for (String name : names(before, after)) {
			Set<String> oldKeys = keys(before.get(name));
			Set<String> newKeys = keys(after.get(name));
			long kept = oldKeys.stream().filter(newKeys::contains).count();
			if (kept < oldKeys.size() || kept < newKeys.size()) {
				changes.add(new RoutingChange("team \"" + name + "\"", "keys", (oldKeys.size() - kept) + " revoked",
						(newKeys.size() - kept) + " added"));
			}
		}
	}

	private static Set<String> keys(TeamAccess team) {
		return (team != null) ? new HashSet<>(team.apiKeys()) : Set.of();
	}

	private static Map<String, Object> fields(Route route) {
		return fields("host name", route.hostName(), "path prefix", route.pathPrefix(), "kind", route.kind(),
				"resumable", route.resumable(), "timeout ms", route.timeoutMs(), "objective ms", route.objectiveMs(),
				"gap objective ms", route.gapObjectiveMs(), "priority", route.priority(), "services",
				weights(route.services()), "max attempts", route.maxAttempts(), "open", route.open());
	}

	private static Map<String, Object> fields(RoutedService service) {
		EngineSpec engine = service.engine();
		return fields("health path", service.healthPath(), "max connections", service.maxConnections(), "engine slots",
				(engine != null) ? engine.slots() : null, "engine cache tokens",
				(engine != null) ? engine.cacheTokens() : null, "engine token bytes",
				(engine != null) ? engine.tokenBytes() : null);
	}

	private static Map<String, Object> fields(CallerLimits limits) {
		return fields("max header bytes", limits.maxHeaderBytes(), "max body bytes", limits.maxBodyBytes(),
				"header timeout ms", limits.headerTimeoutMs(), "idle timeout ms", limits.idleTimeoutMs());
	}

	// Map.of neither keeps the order nor accepts null values.
	private static Map<String, Object> fields(Object... namesAndValues) {
		Map<String, Object> fields = new LinkedHashMap<>();
		for (int index = 0; index < namesAndValues.length; index += 2) {
			fields.put((String) namesAndValues[index], namesAndValues[index + 1]);
		}
		return fields;
	}

	private static Map<String, Integer> weights(List<ServiceWeight> services) {
		Map<String, Integer> weights = new LinkedHashMap<>();
		services.forEach((service) -> weights.merge(service.service(), service.weight(), Integer::sum));
		return weights;
	}

	private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
		Map<String, T> byName = new LinkedHashMap<>();
		entries.forEach((entry) -> byName.put(name.apply(entry), entry));
		return byName;
	}

	private static Set<String> names(Map<String, ?> before, Map<String, ?> after) {
		Set<String> names = new TreeSet<>(before.keySet());
		names.addAll(after.keySet());
		return names;
	}

	private static String text(Object value) {
		return String.valueOf(value);
	}

}
