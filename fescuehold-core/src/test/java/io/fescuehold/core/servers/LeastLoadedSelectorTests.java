package io.fescuehold.core.servers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the choice of a server of a plain service, with one test for each load pattern.
 */
class LeastLoadedSelectorTests {

	private static final int SLOTS = 6;

	private final SplittableRandom random = new SplittableRandom(3);

	private final LeastLoadedSelector selector = new LeastLoadedSelector("a", this.random);

	@Test
	void idleServersServeTheirOwnFailureDomain() {
		List<ServerState> servers = servers();
		for (int request = 0; request < 50; request++) {
			assertThat(this.selector.select(servers, 0).server().failureDomain()).isEqualTo("a");
		}
	}

	@Test
	void burstFillsAllServersEvenly() {
		List<ServerState> servers = servers();
		for (int request = 0; request < 3 * SLOTS; request++) {
			this.selector.select(servers, 0).begin();
		}
		assertThat(servers).allSatisfy((server) -> assertThat(server.load()).isBetween(SLOTS - 1, SLOTS + 1));
	}

	@Test
	void loadOfOtherDaemonsCounts() {
		List<ServerState> servers = servers();
		servers.get(0).setOtherRequests(5);
		assertThat(this.selector.select(servers, 0)).isNotSameAs(servers.get(0));
	}

	@Test
	void serverThatFailsHalfOfItsRequestsGetsFewWhileOthersAreIdle() {
		List<ServerState> servers = servers();
		Map<String, Integer> requests = new HashMap<>();
		for (int request = 0; request < 300; request++) {
			ServerState chosen = this.selector.select(servers, request * 10L);
			requests.merge(chosen.server().id(), 1, Integer::sum);
			boolean fails = chosen == servers.get(0) && this.random.nextBoolean();
			chosen.health().record(fails ? ServerOutcome.FAILED : ServerOutcome.SERVED, request * 10L);
		}
		assertThat(requests.get("s0")).as("requests to the failing server of 300").isLessThan(60);
	}

	@Test
	void withoutCandidatesThereIsNoChoice() {
		assertThat(this.selector.select(List.of(), 0)).isNull();
	}

	private static List<ServerState> servers() {
		ServerTable table = new ServerTable();
		List<BackendServer> list = new ArrayList<>();
		List<String> domains = List.of("a", "b", "c");
		for (int index = 0; index < domains.size(); index++) {
			list.add(new BackendServer("s" + index, "service", "10.0.0." + index + ":80", domains.get(index), SLOTS,
					false, "v1"));
		}
		table.update(new ServerList(1, list), 0);
		return table.of("service");
	}

}
