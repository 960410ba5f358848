package io.fescuehold.core.routes;

import java.util.List;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests that an invalid configuration is refused with the place, the value and the
 * remedy.
 */
class RoutingRulesTests {

	@Test
	void validConfigurationIsAccepted() {
		assertThatCode(() -> RoutingRules.check(RoutingSamples.config(1, List.of(RoutingSamples.route("r", "/a/")))))
			.doesNotThrowAnyException();
	}

	@Test
	void unknownServiceIsRefused() {
		assertRefused(RoutingSamples.config(1, List.of(RoutingSamples.route("r", "/a/", 10, "other"))),
				"route \"r\" service is other; name one of the configured services");
	}

	@Test
	void duplicateHostNameAndPrefixAreRefused() {
		assertRefused(
				RoutingSamples.config(1, List.of(RoutingSamples.route("r", "/a/"), RoutingSamples.route("s", "/a/"))),
				"route \"s\" is h.example/a/; use a host name and path prefix that no other route has");
	}

	@Test
	void timeoutOfZeroIsRefused() {
		assertRefused(RoutingSamples.config(1, List.of(RoutingSamples.route("r", "/a/", 0, "service"))),
				"route \"r\" timeout is 0; use a positive number of milliseconds");
	}

	@Test
	void weightsThatSumToZeroAreRefused() {
		Route route = new Route("r", "h.example", "/a/", RouteKind.STREAMING, true, 10, 10, 10, 0,
				List.of(new ServiceWeight("service", 0)), 1, false);
		assertRefused(RoutingSamples.config(1, List.of(route)),
				"route \"r\" weights is 0; give at least one service a positive weight");
	}

	@Test
	void prefixWithoutSlashIsRefused() {
		assertRefused(RoutingSamples.config(1, List.of(RoutingSamples.route("r", "/a"))),
				"route \"r\" path prefix is /a; begin and end it with a slash");
	}

	@Test
	void sharedKeyIsRefusedWithoutShowingIt() {
		RoutingConfig config = new RoutingConfig(1, List.of(), List.of(), CallerLimits.DEFAULT,
				List.of(new TeamAccess("a", List.of("secret"), 0), new TeamAccess("b", List.of("secret"), 0)));
		assertRefused(config, "team \"b\" key is a key of another team; give each team keys of its own");
	}

	@Test
	void numberOfZeroIsRefused() {
		assertRefused(RoutingSamples.config(0, List.of()), "number is 0; use a positive number");
	}

	// Guards against routes that no longer ask for a key because the teams were left out.
	@Test
	void teamsMayOnlyBeLeftOutIfEachRouteIsOpen() {
		List<Route> routes = List.of(RoutingSamples.route("r", "/a/"));
		RoutingConfig withTeams = RoutingSamples.config(2, routes);
		RoutingConfig without = withoutTeams(3, routes);
		assertThat(RoutingRules.violationOfReplacement(withTeams, without).text()).isEqualTo(
				"teams is empty although configuration 2 asks for the keys of 2 teams; send the teams, or declare"
						+ " each route open");
		assertThat(RoutingRules.violationOfReplacement(without, withTeams)).isNull();
		assertThat(RoutingRules.violationOfReplacement(withTeams, withoutTeams(1, routes))).as("overtaken").isNull();
		assertThat(RoutingRules.violationOfReplacement(withTeams, withoutTeams(3, List.of()))).isNull();
	}

	private static RoutingConfig withoutTeams(long number, List<Route> routes) {
		return new RoutingConfig(number, routes, List.of(), CallerLimits.DEFAULT, List.of());
	}

	private static void assertRefused(RoutingConfig config, String message) {
		FescueholdException refusal = catchThrowableOfType(FescueholdException.class, () -> RoutingRules.check(config));
		assertThat(refusal.code()).isEqualTo(ErrorCode.ROUTING_INVALID);
		assertThat(refusal).hasMessage(message);
	}

}
