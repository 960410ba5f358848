package io.fescuehold.core.routes;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the lookup of routes and teams.
 */
class RouteTableTests {

	private final RouteTable table = new RouteTable(
			RoutingSamples.config(1, List.of(RoutingSamples.route("wide", "/a/"),
					RoutingSamples.route("narrow", "/a/b/"), RoutingSamples.route("root", "/"))));

	@Test
	void longestPrefixWins() {
		assertThat(this.table.find("h.example", "/a/b/c").name()).isEqualTo("narrow");
		assertThat(this.table.find("h.example", "/a/b/").name()).isEqualTo("narrow");
		assertThat(this.table.find("h.example", "/a/bc").name()).isEqualTo("wide");
		assertThat(this.table.find("h.example", "/other").name()).isEqualTo("root");
	}

	@Test
	void hostNameIsComparedWithoutPortAndCase() {
		assertThat(this.table.find("H.Example:8080", "/a/x").name()).isEqualTo("wide");
		assertThat(this.table.find("other.example", "/a/x")).isNull();
		assertThat(this.table.find(null, "/a/x")).isNull();
	}

	@Test
	void keyLeadsToItsTeam() {
		assertThat(this.table.teamOf("key-1").name()).isEqualTo("team-1");
		assertThat(this.table.teamOf("key-9")).isNull();
		assertThat(this.table.teamOf(null)).isNull();
	}

	@Test
	void weightsSplitTheRequests() {
		Route split = new Route("r", "h.example", "/", RouteKind.IDEMPOTENT, false, 100, 10, 0, 0,
				List.of(new ServiceWeight("a", 90), new ServiceWeight("b", 10), new ServiceWeight("c", 0)), 1, false);
		assertThat(split.serviceFor(0)).isEqualTo("a");
		assertThat(split.serviceFor(0.899)).isEqualTo("a");
		assertThat(split.serviceFor(0.901)).isEqualTo("b");
		assertThat(split.serviceFor(0.999_999)).isEqualTo("b");
	}

}
