package io.fescuehold.core.evacuation;

import java.util.List;
import java.util.Set;

import io.fescuehold.core.servers.BackendServer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the state of evacuations, the view of a host and the count of the slots left.
 */
class EvacuationsTests {

	@Test
	void encodedStateIsReadBack() {
		Evacuations state = new Evacuations(7, Set.of("nord-süd", "b"));
		assertThat(Evacuations.decode(state.encode())).isEqualTo(state);
	}

	@Test
	void viewKnowsWhenAnEvacuationEndedUntilTheNextBegins() {
		EvacuationView view = new EvacuationView();
		view.update(new Evacuations(1, Set.of("a", "b")), 100);
		view.update(new Evacuations(2, Set.of("b")), 200);
		assertThat(view.isEvacuated("a")).isFalse();
		assertThat(view.endedAtMs("a")).isEqualTo(200);
		view.update(new Evacuations(3, Set.of("a")), 300);
		assertThat(view.endedAtMs("a")).isEqualTo(EvacuationView.NEVER);
	}

	@Test
	void floodOfOrdersLeavesALineASecond() {
		LogAllowance allowance = new LogAllowance();
		int logged = 0;
		for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
			logged += allowance.tryAcquire(nowMs) ? 1 : 0;
		}
		assertThat(logged).isBetween(10, 14);
		assertThat(allowance.takeDropped()).isEqualTo(1_000 - logged);
	}

	@Test
	void slotsOfLeavingServersAndEvacuatedDomainsAreNotLeft() {
		List<BackendServer> servers = List.of(new BackendServer("1", "s", "10.0.0.1:80", "a", 4, false, null),
				new BackendServer("2", "s", "10.0.0.2:80", "b", 6, false, null),
				new BackendServer("3", "s", "10.0.0.3:80", "c", 8, true, null));
		assertThat(RemainingSlots.byService(servers, Set.of("a"))).containsEntry("s", new RemainingSlots(10, 6));
	}

}
