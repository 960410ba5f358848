package io.fescuehold.core.routes;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that operators see each difference before they submit a configuration.
 */
class RoutingDiffTests {

	private static final CallerLimits LIMITS = CallerLimits.DEFAULT;

	private static final RoutedService SERVICE = new RoutedService("s", "/healthz", 10, new EngineSpec(4, 1_000, 8));

	@Test
	void equalConfigurationsWithOtherNumbersDoNotDiffer() {
		List<Route> routes = List.of(RoutingSamples.route("a", "/a/"));
		assertThat(RoutingDiff.between(RoutingSamples.config(1, routes), RoutingSamples.config(2, routes))).isEmpty();
	}

	@Test
	void addedAndRemovedRoutesAreNamedWithTheirContent() {
		List<RoutingChange> changes = RoutingDiff.between(
				RoutingSamples.config(1, List.of(RoutingSamples.route("a", "/a/"))),
				RoutingSamples.config(2, List.of(RoutingSamples.route("b", "/b/"))));
		assertThat(changes).extracting(RoutingChange::place).containsExactly("route \"a\"", "route \"b\"");
		assertThat(changes.getFirst().after()).isNull();
		assertThat(changes.getFirst().before()).contains("path prefix=/a/");
		assertThat(changes.getLast().before()).isNull();
	}

	@Test
	void changedFieldShowsBothValues() {
		List<RoutingChange> changes = RoutingDiff.between(
				RoutingSamples.config(1, List.of(RoutingSamples.route("a", "/a/", 1_000, "s"))),
				RoutingSamples.config(2, List.of(RoutingSamples.route("a", "/a/", 2_000, "s"))));
		assertThat(changes).containsExactly(new RoutingChange("route \"a\"", "timeout ms", "1000", "2000"));
	}

	@Test
	void servicesAndLimitsAreCompared() {
		RoutingConfig before = new RoutingConfig(1, List.of(), List.of(SERVICE), LIMITS, List.of());
		RoutingConfig after = new RoutingConfig(2, List.of(), List.of(new RoutedService("s", "/healthz", 12, null)),
				new CallerLimits(LIMITS.maxHeaderBytes(), LIMITS.maxBodyBytes(), 1, LIMITS.idleTimeoutMs()), List.of());
		assertThat(RoutingDiff.between(before, after)).contains(
				new RoutingChange("service \"s\"", "max connections", "10", "12"),
				new RoutingChange("service \"s\"", "engine slots", "4", "null"),
				new RoutingChange("limits", "header timeout ms", "3000", "1"));
	}

	@Test
	void keysAreCountedAndNeverShown() {
		List<RoutingChange> changes = RoutingDiff.between(
				teams(new TeamAccess("t", List.of("secret-1", "secret-2"), 0)),
				teams(new TeamAccess("t", List.of("secret-2", "secret-3", "secret-4"), 0),
						new TeamAccess("u", List.of("secret-5"), null)));
		assertThat(changes).contains(new RoutingChange("team \"t\"", "keys", "1 revoked", "2 added"),
				new RoutingChange("team \"u\"", "keys", "0 revoked", "1 added"));
		assertThat(changes.toString()).doesNotContain("secret");
	}

	private static RoutingConfig teams(TeamAccess... teams) {
		return new RoutingConfig(1, List.of(), List.of(), LIMITS, List.of(teams));
	}

}
