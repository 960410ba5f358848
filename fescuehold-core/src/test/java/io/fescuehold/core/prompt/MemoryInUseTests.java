package io.fescuehold.core.prompt;

import java.util.List;
import java.util.Map;

import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.RequestDemand;
import io.fescuehold.core.servers.ServerState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which requests in flight take memory.
 */
class MemoryInUseTests {

	private final MemoryInUse memory = new MemoryInUse();

	private final ServerState server = ServerState
		.unlisted(new BackendServer("s", "model", "10.0.0.1:80", "z", 64, false, "v1"));

	private final RequestDemand demand = new RequestDemand(9_000, 1_000, 0, "", 0, 0);

	@Test
	void sharedPartsCountOnceUntilTheirLastRequestEnds() {
		this.memory.setOtherUnits(Map.of());
		this.memory.begin("s", prompt("a"), this.demand);
		this.memory.begin("s", prompt("b"), this.demand);
		assertThat(this.memory.tokens(this.server)).isEqualTo(8_000 + 2 * (1_000 + 1_000));
		assertThat(this.memory.ownUnits()).isEqualTo(Map.of("s", 12));
		this.memory.end("s", prompt("a"), this.demand);
		assertThat(this.memory.tokens(this.server)).isEqualTo(10_000);
		assertThat(this.memory.hasRoom(this.server, prompt("c"), this.demand, 12_000)).isTrue();
		assertThat(this.memory.hasRoom(this.server, prompt("c"), this.demand, 11_999)).isFalse();
		assertThat(this.memory.hasRoom(this.server, prompt("c"), this.demand, 0)).as("unknown size").isTrue();
		this.memory.end("s", prompt("b"), this.demand);
		assertThat(this.memory.tokens(this.server)).isZero();
		assertThat(this.memory.ownUnits()).isEmpty();
	}

	@Test
	void requestsOfOtherDaemonsCountLikeOwnOnesWhileTheirMemoryIsUnknown() {
		this.memory.begin("s", prompt("a"), this.demand);
		this.server.begin();
		this.server.setOtherRequests(3);
		assertThat(this.memory.tokens(this.server)).isEqualTo(4 * 10_000);
		this.memory.setOtherUnits(Map.of("s", 100));
		assertThat(this.memory.tokens(this.server)).isEqualTo(10_000 + 100 * MemoryInUse.UNIT_TOKENS);
	}

	private static PromptShape prompt(String own) {
		return new PromptShape(List.of(new PromptPart("shared", 8_000), new PromptPart(own, 1_000)), 1_000);
	}

}
