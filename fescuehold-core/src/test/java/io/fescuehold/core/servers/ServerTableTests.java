package io.fescuehold.core.servers;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which state is kept when the list of servers changes.
 */
class ServerTableTests {

	private final ServerTable table = new ServerTable();

	@Test
	void knownInstanceKeepsItsLoadAndHealth() {
		this.table.update(new ServerList(1, List.of(server("i-1", "a", false))), 0);
		this.table.find("i-1").begin();
		this.table.update(new ServerList(2, List.of(server("i-1", "a", true))), 0);
		assertThat(this.table.find("i-1").ownRequests()).isEqualTo(1);
		assertThat(this.table.find("i-1").server().leaving()).isTrue();
	}

	@Test
	void addressThatIsUsedAgainIsAnotherServer() {
		this.table.update(new ServerList(1, List.of(server("i-1", "a", false))), 0);
		this.table.find("i-1").health().record(ServerOutcome.UNREACHABLE, 0);
		this.table.update(new ServerList(2, List.of(server("i-2", "b", false))), 0);
		assertThat(this.table.of("a")).isEmpty();
		assertThat(this.table.of("b")).singleElement()
			.satisfies((state) -> assertThat(state.health().isUsable(1)).isTrue());
		assertThat(this.table.find("i-1")).isNull();
	}

	@Test
	void otherDaemonsLoadIsTheSumOfTheirRecentSamples() {
		FleetLoad load = new FleetLoad(2_000);
		load.put("h1", Map.of("i-1", 2, "i-2", 1), 0);
		load.put("h2", Map.of("i-1", 3), 1_000);
		load.put("h3", Map.of("i-1", 50), 1_000);
		assertThat(load.totalExcluding("h3", 1_500)).containsEntry("i-1", 5).containsEntry("i-2", 1);
		assertThat(load.totalExcluding("h3", 2_500)).containsOnly(Map.entry("i-1", 3));
	}

	private static BackendServer server(String id, String service, boolean leaving) {
		return new BackendServer(id, service, "10.0.0.1:80", "z", 4, leaving, "v1");
	}

}
