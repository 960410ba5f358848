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
	void onlyOrdersThatChangeTheStateChangeItsRevision() {
		Evacuations one = Evacuations.NONE.after(new EvacuationOrder("a", true), 5);
		assertThat(one).isEqualTo(new Evacuations(5, Set.of("a")));
		assertThat(one.after(new EvacuationOrder("a", true), 6)).isSameAs(one);
		assertThat(one.after(new EvacuationOrder("b", false), 7)).isSameAs(one);
		assertThat(one.after(new EvacuationOrder("a", false), 8)).isEqualTo(new Evacuations(8, Set.of()));
	}

	@Test
	void encodedStateIsReadBack() {
		Evacuations state = new Evacuations(7, Set.of("nord-süd", "b"));
		assertThat(Evacuations.decode(state.encode())).isEqualTo(state);
		assertThat(Evacuations.decode(Evacuations.NONE.encode())).isEqualTo(Evacuations.NONE);
		EvacuationOrder order = new EvacuationOrder("nord-süd", false);
		assertThat(EvacuationOrder.decode(order.encode())).isEqualTo(order);
	}

	@Test
	void viewKnowsWhenAnEvacuationEndedUntilTheNextBegins() {
		EvacuationView view = new EvacuationView();
		view.update(new Evacuations(1, Set.of("a", "b")), 100);
		assertThat(view.isEvacuated("a")).isTrue();
		view.update(new Evacuations(2, Set.of("b")), 200);
		assertThat(view.isEvacuated("a")).isFalse();
		assertThat(view.endedAtMs("a")).isEqualTo(200);
		assertThat(view.endedAtMs("b")).isEqualTo(EvacuationView.NEVER);
		view.update(new Evacuations(3, Set.of("a")), 300);
		assertThat(view.endedAtMs("a")).isEqualTo(EvacuationView.NEVER);
		assertThat(view.endedAtMs("b")).isEqualTo(300);
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
		assertThat(allowance.takeDropped()).isZero();
	}

	@Test
	void slotsOfLeavingServersAndEvacuatedDomainsAreNotLeft() {
		List<BackendServer> servers = List.of(new BackendServer("1", "s", "10.0.0.1:80", "a", 4, false, null),
				new BackendServer("2", "s", "10.0.0.2:80", "b", 6, false, null),
				new BackendServer("3", "s", "10.0.0.3:80", "c", 8, true, null),
				new BackendServer("4", "t", "10.0.0.4:80", "a", 2, false, null));
		assertThat(RemainingSlots.byService(servers, Set.of("a"))).hasSize(2)
			.containsEntry("s", new RemainingSlots(10, 6))
			.containsEntry("t", new RemainingSlots(2, 0));
	}

}
