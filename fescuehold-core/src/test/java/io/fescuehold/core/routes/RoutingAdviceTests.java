package io.fescuehold.core.routes;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests that entries of a configuration which no request can match are found before it is
 * submitted, and that daemons accept them all the same.
 */
class RoutingAdviceTests {

	private static final RoutedService SERVICE = new RoutedService("service", "/healthz", 10, null);

	private static final TeamAccess TEAM = new TeamAccess("team", List.of("key"), 0);

	@Test
	void soundConfigurationHasNoFindings() {
		assertThat(RoutingAdvice.of(RoutingSamples.config(1, List.of(RoutingSamples.route("r", "/a/"))))).isEmpty();
	}

	@Test
	void allErrorsAreListedInTheOrderOfTheRules() {
		List<RoutingFinding> findings = RoutingAdvice.of(RoutingSamples.config(0,
				List.of(RoutingSamples.route("r", "a", 0, "other"), RoutingSamples.route("s", "/b/", -1, "service"))));
		assertThat(findings.stream()
			.filter((finding) -> finding.severity() == RoutingFinding.Severity.ERROR)
			.map(RoutingFinding::place)).containsExactly("number", "route \"r\" path prefix", "route \"r\" timeout",
					"route \"r\" service", "route \"s\" timeout");
		assertThat(findings.getFirst().text()).isEqualTo("number is 0; use a positive number");
	}

	@Test
	void routeHiddenByAnotherSpellingOfItsHostNameIsFound() {
		assertWarnings(routes(onHost("r", "H.example"), onHost("s", "h.example")),
				"route \"r\" host name is H.example, which is the same host as h.example of route \"s\" and hides "
						+ "this route");
		assertThat(new RouteTable(routes(onHost("r", "H.example"), onHost("s", "h.example"))).find("h.example", "/a/")
			.name()).isEqualTo("s");
	}

	@Test
	void upperCaseAloneIsNoFinding() {
		assertThat(RoutingAdvice.of(routes(onHost("r", "H.example")))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(ignoreLeadingAndTrailingWhitespace = false, value = { " h.example", "h.example ", "*.example",
			"https://h.example", "h.example/a", "h\u00e4.example", "''" })
	void hostNameThatNoRequestCarriesIsFound(String hostName) {
		assertWarnings(routes(onHost("r", hostName)),
				"route \"r\" host name is \"" + hostName + "\", which no request");
	}

	@Test
	void portOfAHostNameIsFound() {
		assertWarnings(routes(onHost("r", "h.example:8080")),
				"route \"r\" host name is h.example:8080; leave out the port");
		assertThat(RoutingAdvice.of(routes(onHost("r", "[::1]")))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "/a b/", "/a?b/", "/#/" })
	void pathPrefixThatNoPathBeginsWithIsFound(String prefix) {
		assertWarnings(routes(RoutingSamples.route("r", prefix)), "route \"r\" path prefix is \"" + prefix + "\"");
	}

	@Test
	void namesOfSeveralEntriesAreFoundOnce() {
		RoutingConfig config = new RoutingConfig(1,
				List.of(RoutingSamples.route("r", "/a/"), RoutingSamples.route("r", "/b/"),
						RoutingSamples.route("r", "/c/")),
				List.of(SERVICE, SERVICE), CallerLimits.DEFAULT,
				List.of(TEAM, new TeamAccess("team", List.of("other"), 1)));
		assertWarnings(config, "route \"r\" name is the name of several", "service \"service\" name is the name",
				"team \"team\" name is the name");
	}

	@Test
	void serviceThatGetsNoRequestIsFound() {
		RoutedService unused = new RoutedService("unused", "/healthz", 10, null);
		RoutedService drained = new RoutedService("drained", "/healthz", 10, null);
		Route route = split(new ServiceWeight("service", 1), new ServiceWeight("drained", 0));
		RoutingConfig config = new RoutingConfig(1, List.of(route), List.of(SERVICE, unused, drained),
				CallerLimits.DEFAULT, List.of(TEAM));
		assertWarnings(config, "route \"r\" weight of service \"drained\" is 0",
				"service \"unused\" is not used by any route", "service \"drained\" is used with weight 0 only");
	}

	@Test
	void teamWithoutKeysIsFound() {
		assertWarnings(teams(TEAM, new TeamAccess("idle", List.of(), null)), "team \"idle\" keys is empty");
	}

	@Test
	void keysThatNeverMatchAreCountedAndNotShown() {
		RoutingConfig config = teams(new TeamAccess("team", List.of("good", " secret", "", "good"), null));
		assertWarnings(config, "team \"team\" keys is 2 of 3 empty or with surrounding blanks",
				"team \"team\" keys is the same key more than once");
		assertThat(RoutingAdvice.of(config).toString()).doesNotContain("secret", "good");
	}

	@Test
	void routeThatNoKeyOpensIsFound() {
		assertWarnings(teams(new TeamAccess("team", List.of(" "), null)), "team \"team\" keys is 1 of 1 empty",
				"route \"r\" is not open, and no team has a key");
	}

	@Test
	void closedRoutesWithoutTeamsAreFound() {
		assertWarnings(teams(), "teams is empty although not all routes are open");
	}

	@Test
	void teamsWithoutClosedRouteAreFound() {
		Route open = new Route("r", "h.example", "/a/", RouteKind.IDEMPOTENT, false, 1_000, 100, 0, 0,
				List.of(new ServiceWeight("service", 1)), 2, true);
		assertWarnings(routes(open), "teams is without effect, since all routes are open");
	}

	static void assertWarnings(RoutingConfig config, String... beginnings) {
		List<RoutingFinding> findings = RoutingAdvice.of(config);
		assertThat(findings).as("findings")
			.allMatch((finding) -> finding.severity() == RoutingFinding.Severity.WARNING)
			.hasSize(beginnings.length);
		List<String> texts = new ArrayList<>(findings.stream().map(RoutingFinding::text).toList());
		for (String beginning : beginnings) {
			assertThat(texts).as(beginning).anyMatch((text) -> text.startsWith(beginning));
		}
		assertThatCode(() -> RoutingRules.check(config)).doesNotThrowAnyException();
	}

	static RoutingConfig routes(Route... routes) {
		return new RoutingConfig(1, List.of(routes), List.of(SERVICE), CallerLimits.DEFAULT, List.of(TEAM));
	}

	private static RoutingConfig teams(TeamAccess... teams) {
		return new RoutingConfig(1, List.of(RoutingSamples.route("r", "/a/")), List.of(SERVICE), CallerLimits.DEFAULT,
				List.of(teams));
	}

	private static Route onHost(String name, String hostName) {
		return new Route(name, hostName, "/a/", RouteKind.IDEMPOTENT, false, 1_000, 100, 0, 0,
				List.of(new ServiceWeight("service", 1)), 2, false);
	}

	private static Route split(ServiceWeight... services) {
		return new Route("r", "h.example", "/a/", RouteKind.IDEMPOTENT, false, 1_000, 100, 0, 0, List.of(services), 2,
				false);
	}

}
