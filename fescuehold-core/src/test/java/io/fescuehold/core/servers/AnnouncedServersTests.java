package io.fescuehold.core.servers;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a list that all hosts get anew at each read because cold times count
 * down, and against a start that they are not told.
 */
class AnnouncedServersTests {

	private static BackendServer server(String id, String address, long coldMs) {
		return new BackendServer(id, "s", address, "d", 1, false, null, coldMs);
	}

	@Test
	void listIsPassedOnOnlyIfTheEndOfAColdTimeMoves() {
		AnnouncedServers announced = new AnnouncedServers();
		announced.announce(List.of(server("a", "10.0.0.1:1", 3_000)), 0);
		for (long nowMs = 0; nowMs < 9_000; nowMs += 1_000) {
			long remainingMs = Math.max(0, 3_000 - nowMs + 300);
			assertThat(announced.differFrom(List.of(server("a", "10.0.0.1:1", remainingMs)), nowMs)).isFalse();
		}
		assertThat(announced.differFrom(List.of(server("a", "10.0.0.1:1", 3_000)), 2_000)).isTrue();
		assertThat(announced.differFrom(List.of(server("a", "10.0.0.2:1", 1_000)), 2_000)).isTrue();
	}

	@Test
	void unreadableTimeIsPassedOnBeforeTheHostsTakeItForEnded() {
		AnnouncedServers announced = new AnnouncedServers();
		List<BackendServer> read = List.of(server("a", "10.0.0.1:1", BackendServer.MAX_COLD_MS));
		announced.announce(read, 0);
		assertThat(announced.differFrom(read, BackendServer.MAX_COLD_MS / 2)).isFalse();
		assertThat(announced.differFrom(read, BackendServer.MAX_COLD_MS / 2 + 1)).isTrue();
	}

}
