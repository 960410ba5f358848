package io.fescuehold.core.routes;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that limits which contradict each other are found before a configuration is
 * submitted, and that daemons accept them all the same.
 */
class RoutingLimitAdviceTests {

	private static final TeamAccess TEAM = new TeamAccess("team", List.of("key"), 0);

	@Test
	void objectivesBeyondTheTimeoutAreFound() {
		RoutingAdviceTests.assertWarnings(stream(true, 1_000, 1_001, 1_002, 2),
				"route \"r\" objective is 1001 ms, above the timeout of 1000 ms",
				"route \"r\" gap objective is 1002 ms, above the timeout of 1000 ms");
		assertThat(RoutingAdvice.of(stream(true, 1_000, 1_000, 1_000, 2))).isEmpty();
	}

	@Test
	void negativeObjectiveIsFound() {
		RoutingAdviceTests.assertWarnings(stream(true, 1_000, -1, 0, 2),
				"route \"r\" objective is -1 ms; use 0 or more");
	}

	@Test
	void attemptsOfRequestsThatMayNotRunTwiceAreFound() {
		RoutingAdviceTests.assertWarnings(stream(false, 1_000, 100, 100, 2),
				"route \"r\" max attempts is 2 although its requests may not run twice");
		assertThat(RoutingAdvice.of(stream(false, 1_000, 100, 100, 1))).isEmpty();
		RoutingAdviceTests.assertWarnings(route(RouteKind.NON_IDEMPOTENT, false, 0, 0, 3),
				"route \"r\" max attempts is 3");
	}

	@Test
	void fieldsOfStreamsOnOtherRoutesAreFound() {
		RoutingAdviceTests.assertWarnings(route(RouteKind.IDEMPOTENT, true, 100, 0, 2),
				"route \"r\" gap objective is 100 ms; leave it out", "route \"r\" resumable is true; leave it out");
	}

	@ParameterizedTest
	@ValueSource(ints = { -1, 3, Integer.MAX_VALUE })
	void priorityOfARouteOutOfRangeIsFound(int priority) {
		RoutingAdviceTests.assertWarnings(route(RouteKind.IDEMPOTENT, false, 0, priority, 2),
				"route \"r\" priority is " + priority + "; use 0 to 2");
	}

	@ParameterizedTest
	@ValueSource(ints = { -1, 4 })
	void priorityOfATeamOutOfRangeIsFound(int priority) {
		RoutingAdviceTests.assertWarnings(
				config(CallerLimits.DEFAULT, null, ColdStart.NONE, new TeamAccess("team", List.of("k"), priority)),
				"team \"team\" priority is " + priority + "; use 0 to 3");
	}

	@Test
	void engineWithoutCapacityIsFound() {
		RoutingAdviceTests.assertWarnings(config(CallerLimits.DEFAULT, new EngineSpec(0, 0, 1), ColdStart.NONE, TEAM),
				"service \"service\" engine slots is 0", "service \"service\" engine cache tokens is 0");
	}

	@Test
	void rateOfColdServersWithoutColdTimeIsFound() {
		RoutingAdviceTests.assertWarnings(config(CallerLimits.DEFAULT, null, new ColdStart(0, 2), TEAM),
				"service \"service\" cold requests per second is 2.0 without a cold time");
		assertThat(RoutingAdvice.of(config(CallerLimits.DEFAULT, null, new ColdStart(5, 2), TEAM))).isEmpty();
	}

	@Test
	void idleTimeoutBelowTheHeaderTimeoutIsFound() {
		RoutingAdviceTests.assertWarnings(config(new CallerLimits(16_384, 1, 3_000, 2_999), null, ColdStart.NONE, TEAM),
				"limits idle timeout is 2999 ms, below the header timeout of 3000 ms");
	}

	@Test
	void headerLimitBelowTheShortestHeadIsFound() {
		String head = "GET /a/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n\r\n";
		CallerLimits enough = new CallerLimits(head.length(), 1, 3_000, 15_000);
		assertThat(RoutingAdvice.of(config(enough, null, ColdStart.NONE, TEAM))).isEmpty();
		CallerLimits tooSmall = new CallerLimits(head.length() - 1, 1, 3_000, 15_000);
		RoutingAdviceTests.assertWarnings(config(tooSmall, null, ColdStart.NONE, TEAM),
				"limits max header bytes is " + (head.length() - 1)
						+ ", while a head with the longest path prefix and key takes at least " + head.length());
	}

	private static RoutingConfig stream(boolean resumable, int timeoutMs, int objectiveMs, int gapObjectiveMs,
			int maxAttempts) {
		return RoutingAdviceTests.routes(new Route("r", "h.example", "/a/", RouteKind.STREAMING, resumable, timeoutMs,
				objectiveMs, gapObjectiveMs, 0, List.of(new ServiceWeight("service", 1)), maxAttempts, false));
	}

	private static RoutingConfig route(RouteKind kind, boolean resumable, int gapObjectiveMs, int priority,
			int maxAttempts) {
		return RoutingAdviceTests.routes(new Route("r", "h.example", "/a/", kind, resumable, 1_000, 100, gapObjectiveMs,
				priority, List.of(new ServiceWeight("service", 1)), maxAttempts, false));
	}

	private static RoutingConfig config(CallerLimits limits, EngineSpec engine, ColdStart coldStart, TeamAccess team) {
		return new RoutingConfig(1, List.of(RoutingSamples.route("r", "/a/")),
				List.of(new RoutedService("service", "/healthz", 10, engine, coldStart)), limits, List.of(team));
	}

}
