package io.fescuehold.core.routes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds limits of a configuration that contradict each other or have no effect.
 */
final class RoutingLimitAdvice {

	/** The parts of the shortest head of a request that every configuration shares. */
	private static final String HEAD_FRAME = "GET  HTTP/1.1\r\nHost: \r\n\r\n";

	private static final String KEY_FRAME = "Authorization: Bearer \r\n";

	private final List<RoutingFinding> findings = new ArrayList<>();

	private RoutingLimitAdvice() {
	}

	/**
	 * Examines the limits.
	 * @param config the configuration
	 * @return the findings, all of them warnings
	 */
	static List<RoutingFinding> of(RoutingConfig config) {
		RoutingLimitAdvice advice = new RoutingLimitAdvice();
		for (Route route : config.routes()) {
			advice.checkTimes(route);
			advice.checkKind(route);
			advice.checkPriority("route \"" + route.name() + "\" priority", route.priority(), Route.PRIORITIES - 1);
		}
		config.services().forEach(advice::checkService);
		for (TeamAccess team : config.teams()) {
			if (team.priority() != null) {
				advice.checkPriority("team \"" + team.name() + "\" priority", team.priority(), TeamAccess.LEAST_URGENT);
			}
		}
		advice.checkCallerLimits(config);
		return advice.findings;
	}

	private void checkTimes(Route route) {
		String place = "route \"" + route.name() + "\" ";
		checkObjective(place + "objective", route.objectiveMs(), route.timeoutMs());
		checkObjective(place + "gap objective", route.gapObjectiveMs(), route.timeoutMs());
	}

	private void checkObjective(String place, int objectiveMs, int timeoutMs) {
		if (objectiveMs < 0) {
			warn(place, objectiveMs + " ms", "use 0 or more");
		}
		else if (timeoutMs > 0 && objectiveMs > timeoutMs) {
			warn(place, objectiveMs + " ms, above the timeout of " + timeoutMs + " ms",
					"lower the objective or raise the timeout; requests end before the objective");
		}
	}

	private void checkKind(Route route) {
		String place = "route \"" + route.name() + "\" ";
		if (!route.isStreaming() && route.gapObjectiveMs() > 0) {
			warn(place + "gap objective", route.gapObjectiveMs() + " ms", "leave it out; only streams have events");
		}
		if (!route.isStreaming() && route.resumable()) {
			warn(place + "resumable", "true", "leave it out; only streams are resumed");
		}
		if (!route.isRepeatable() && route.maxAttempts() > 1) {
			warn(place + "max attempts", route.maxAttempts() + " although its requests may not run twice",
					"use 1; only requests that have not run are sent to another server, and these do not count");
		}
	}

	private void checkPriority(String place, int priority, int leastUrgent) {
		if (priority < 0 || priority > leastUrgent) {
			warn(place, String.valueOf(priority),
					"use 0 to " + leastUrgent + "; values beyond that count as the nearest of these");
		}
	}

	private void checkService(RoutedService service) {
		String place = "service \"" + service.name() + "\" ";
		EngineSpec engine = service.engine();
		if (engine != null && engine.slots() <= 0) {
			warn(place + "engine slots", String.valueOf(engine.slots()), "state how many requests run concurrently");
		}
		if (engine != null && engine.cacheTokens() <= 0) {
			warn(place + "engine cache tokens", String.valueOf(engine.cacheTokens()),
					"state how many tokens the memory holds");
		}
		if (service.coldStart().isLimited() && service.coldStart().durationMs() == 0) {
			warn(place + "cold requests per second", service.coldStart().requestsPerS() + " without a cold time",
					"state how long a started server is cold; without it the rate has no effect");
		}
	}

	private void checkCallerLimits(RoutingConfig config) {
		CallerLimits limits = config.limits();
		if (limits.idleTimeoutMs() < limits.headerTimeoutMs()) {
			warn("limits idle timeout",
					limits.idleTimeoutMs() + " ms, below the header timeout of " + limits.headerTimeoutMs() + " ms",
					"raise it; it ends kept connections before a slow head may take its time");
		}
		long neededBytes = neededHeadBytes(config);
		if (neededBytes > limits.maxHeaderBytes()) {
			warn("limits max header bytes", limits.maxHeaderBytes()
					+ ", while a head with the longest path prefix and key takes at least " + neededBytes,
					"raise it; such requests are refused");
		}
	}

	private static long neededHeadBytes(RoutingConfig config) {
		long longestKey = config.teams()
			.stream()
			.flatMap((team) -> team.apiKeys().stream())
			.mapToLong((key) -> bytes(key) + KEY_FRAME.length())
			.max()
			.orElse(0);
		return config.routes()
			.stream()
			.mapToLong((route) -> HEAD_FRAME.length() + bytes(route.hostName()) + bytes(route.pathPrefix())
					+ (route.open() ? 0 : longestKey))
			.max()
			.orElse(0);
	}

	private static long bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

	private void warn(String place, String seen, String remedy) {
		this.findings.add(new RoutingFinding(RoutingFinding.Severity.WARNING, place, seen, remedy));
	}

}
