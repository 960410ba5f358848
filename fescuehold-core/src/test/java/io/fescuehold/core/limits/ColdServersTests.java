package io.fescuehold.core.limits;

import java.util.List;

import io.fescuehold.core.routes.ColdStart;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that take a cold server for a warm one (FAILBACK).
 */
class ColdServersTests {

	private static final ColdStart COLD = new ColdStart(3_000, 17);

	private final ColdServers servers = new ColdServers();

	private static BackendServer server(String id, String address, long coldMs) {
		return new BackendServer(id, "s", address, "d", 1, false, null, coldMs);
	}

	private boolean isCold(String id, long nowMs) {
		return this.servers.isCold(server(id, "10.0.0.1:1", 0), COLD, nowMs);
	}

	@Test
	void listedTimeCountsFromItsReceiptAndIsNotCutShort() {
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 2_000), server("b", "10.0.0.2:1", 0)), 100);
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 0), server("b", "10.0.0.2:1", 0)), 200);
		assertThat(isCold("a", 2_100)).isTrue();
		assertThat(isCold("a", 2_600)).isFalse();
		assertThat(isCold("b", 100)).isFalse();
	}

	@Test
	void serverOfUnknownStartCountsAsCold() {
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 0), server("b", "10.0.0.2:1", 0)), 0);
		this.servers.onList(List.of(server("a", "10.0.0.3:1", 0), server("c", "10.0.0.2:1", 0)), 1_000);
		assertThat(isCold("a", 3_900)).as("same id at another address").isTrue();
		assertThat(isCold("c", 3_900)).as("new id at a reused address").isTrue();
		assertThat(isCold("c", 4_000)).isFalse();
		this.servers.onList(List.of(), 5_000);
		this.servers.onList(List.of(server("c", "10.0.0.2:1", 0)), 6_000);
		assertThat(isCold("c", 8_900)).as("same id after it had left the list").isTrue();
	}

	@Test
	void serverThatRestartedBehindTheListCountsAsCold() {
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 0)), 0);
		this.servers.responded("a", 10);
		assertThat(isCold("a", 10)).isFalse();
		this.servers.processEnded("a", 20);
		assertThat(isCold("a", 60_000)).isTrue();
		this.servers.responded("a", 60_000);
		assertThat(isCold("a", 62_999 + ServerState.LIST_DELAY_MS)).isTrue();
		assertThat(isCold("a", 63_000 + ServerState.LIST_DELAY_MS)).isFalse();
	}

	// A host without a share of a cold server sends it nothing, so that no response shows
	// that the server is back.
	@Test
	void serverThatTheListShowsAfterItsEndIsWarmLaterWithoutAResponse() {
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 2_500)), 0);
		this.servers.processEnded("a", 1_000);
		assertThat(isCold("a", 60_000)).as("cold time of the process that ended").isTrue();
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 2_800)), 61_000);
		assertThat(isCold("a", 64_299)).isTrue();
		assertThat(isCold("a", 64_300)).isFalse();
		this.servers.processEnded("a", 70_000);
		assertThat(isCold("a", 90_000)).as("the next end").isTrue();
	}

	// All hosts tried the servers of a domain that had been dark in the same second.
	@Test
	void serverThatWasOutOfReachCountsAsColdUntilTheListShowsWhetherItIs() {
		this.servers.onList(List.of(server("a", "10.0.0.1:1", 0)), 0);
		this.servers.unreachable("a", 1_000);
		assertThat(isCold("a", 3_999 + ServerState.LIST_DELAY_MS)).isTrue();
		this.servers.responded("a", 5_000);
		assertThat(isCold("a", 4_999 + ServerState.LIST_DELAY_MS)).isTrue();
		assertThat(isCold("a", 5_000 + ServerState.LIST_DELAY_MS)).isFalse();
	}

	@Test
	void serversOfAReturnedDomainCountAsCold() {
		this.servers.domainReturned("d", 0);
		assertThat(isCold("a", 2_999 + ServerState.LIST_DELAY_MS)).isTrue();
		assertThat(isCold("a", 3_000 + ServerState.LIST_DELAY_MS)).isFalse();
	}

}
