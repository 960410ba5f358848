package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.fescuehold.config.ServerState;
import io.fescuehold.core.view.FleetView;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against herding, lost cache reuse, requests to unusable servers and disagreement
 * between routers.
 */
class BoundedLoadPlacementTests {

	private static final long START_MS = 1_700_000_000_000L;

	private final TestFleet fleet = new TestFleet(12);

	private static BoundedLoadPlacement router(String host) {
		return new BoundedLoadPlacement(host, () -> 7, 1);
	}

	private static PlacementDecision.Chosen place(PlacementPolicy router, PlacementRequest request, FleetView view,
			Map<String, ServerLoad> loads, long nowMs) {
		return (PlacementDecision.Chosen) router.place(request, TestFleet.SHARE, view, loads, nowMs);
	}

	private static String placeAndFinish(PlacementPolicy router, PlacementRequest request, FleetView view,
			Map<String, ServerLoad> loads, long nowMs) {
		String id = place(router, request, view, loads, nowMs).serverId();
		router.finished(request, id, new ServedOutcome(true, 0, request.promptTokens() + 200), nowMs);
		return id;
	}

	@Test
	void staleReportOfOneEmptyServerDoesNotDrawAllRouters() {
		FleetView view = this.fleet.view();
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS - 3_000);
		loads.put("s03", new ServerLoad("s03", 0, 0, START_MS - 3_000));
		Map<String, Integer> placed = new HashMap<>();
		for (int number = 0; number < 7; number++) {
			PlacementPolicy router = router("r" + number);
			for (int chat = 0; chat < 12; chat++) {
				String id = place(router, TestFleet.request("c" + number + "-" + chat, 500, null), view, loads,
						START_MS + chat * 10)
					.serverId();
				placed.merge(id, 1, Integer::sum);
			}
		}
		// 84 requests on 12 servers; with herding, most of them would go to s03.
		assertThat(placed.get("s03")).isBetween(7, 40);
		assertThat(placed).hasSizeGreaterThan(8);
	}

	@Test
	void reportsThatStopLeaveAnEvenSpread() {
		FleetView view = this.fleet.view();
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS - 120_000);
		loads.put("s03", new ServerLoad("s03", 0, 0, START_MS - 120_000));
		Map<String, Integer> placed = new HashMap<>();
		PlacementPolicy router = router("r1");
		for (int chat = 0; chat < 600; chat++) {
			placed.merge(place(router, TestFleet.request("c" + chat, 500, null), view, loads, START_MS + chat * 20)
				.serverId(), 1, Integer::sum);
		}
		assertThat(placed.values()).allMatch((count) -> count > 30 && count < 75);
	}

	@Test
	void chatReturnsToTheServerThatHoldsItsContext() {
		FleetView view = this.fleet.view();
		PlacementPolicy router = router("r1");
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS);
		PlacementRequest first = TestFleet.request("chat", 800, null);
		String home = place(router, first, view, loads, START_MS).serverId();
		router.finished(first, home, new ServedOutcome(true, 0, 1_000), START_MS + 2_000);
		PlacementDecision.Chosen again = place(router, TestFleet.request("chat", 1_200, null), view,
				this.fleet.loads(20_000, START_MS + 20_000), START_MS + 20_000);
		assertThat(again.serverId()).isEqualTo(home);
		assertThat(again.expectedCachedTokens()).isEqualTo(1_000);
	}

	@Test
	void anotherRouterFollowsTheHintToTheContext() {
		ChatHint hint = new ChatHint("s05", 4_000, START_MS - 60_000);
		PlacementDecision.Chosen chosen = place(router("r2"), TestFleet.request("chat", 4_200, hint), this.fleet.view(),
				this.fleet.loads(20_000, START_MS), START_MS);
		assertThat(chosen.serverId()).isEqualTo("s05");
		assertThat(chosen.expectedCachedTokens()).isEqualTo(4_000);
	}

	@Test
	void contextOfALeavingServerIsImportedIfLong() {
		FleetView view = this.fleet.put("s05", ServerState.LEAVING, 1_000).view();
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS);
		PlacementDecision.Chosen chosen = place(router("r2"),
				TestFleet.request("chat", 4_200, new ChatHint("s05", 4_000, START_MS)), view, loads, START_MS);
		assertThat(chosen.serverId()).isNotEqualTo("s05");
		assertThat(chosen.kvSourceServerId()).isEqualTo("s05");
		PlacementDecision.Chosen shortChat = place(router("r2"),
				TestFleet.request("brief", 220, new ChatHint("s05", 200, START_MS)), view, loads, START_MS);
		assertThat(shortChat.kvSourceServerId()).isNull();
	}

	@Test
	void importsThatDeliverNothingAreOnlyProbed() {
		FleetView view = this.fleet.put("s05", ServerState.LEAVING, 1_000).view();
		PlacementPolicy router = router("r2");
		int imports = 0;
		for (int chat = 0; chat < 200; chat++) {
			PlacementRequest request = TestFleet.request("c" + chat, 4_200, new ChatHint("s05", 4_000, START_MS));
			PlacementDecision.Chosen chosen = place(router, request, view, this.fleet.loads(20_000, START_MS),
					START_MS);
			imports += (chosen.kvSourceServerId() != null) ? 1 : 0;
			router.finished(request, chosen.serverId(), new ServedOutcome(true, 0, 4_400), START_MS);
		}
		assertThat(imports).isBetween(6, 30);
	}

	@Test
	void overloadedHomeIsLeft() {
		FleetView view = this.fleet.view();
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS);
		loads.put("s05", new ServerLoad("s05", 40_000, 30, START_MS));
		PlacementDecision.Chosen chosen = place(router("r1"),
				TestFleet.request("chat", 700, new ChatHint("s05", 600, START_MS)), view, loads, START_MS);
		assertThat(chosen.serverId()).isNotEqualTo("s05");
	}

	@Test
	void leavingServerReceivesNothing() {
		FleetView view = this.fleet.put("s05", ServerState.LEAVING, 1_000).view();
		PlacementPolicy router = router("r1");
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS);
		loads.put("s05", new ServerLoad("s05", 0, 0, START_MS));
		for (int chat = 0; chat < 300; chat++) {
			ChatHint hint = new ChatHint("s05", 2_000, START_MS);
			assertThat(
					place(router, TestFleet.request("c" + chat, 2_100, hint), view, loads, START_MS + chat).serverId())
				.isNotEqualTo("s05");
		}
	}

	@Test
	void joiningServerReceivesWorkGradually() {
		PlacementPolicy router = router("r1");
		FleetView before = this.fleet.view();
		place(router, TestFleet.request("first", 500, null), before, this.fleet.loads(20_000, START_MS), START_MS);
		FleetView after = this.fleet.put("s99", ServerState.JOINING, 1_000).view();
		int early = countAt("s99", router, after, START_MS + 1_000, "early");
		int late = countAt("s99", router, after, START_MS + 60_000, "late");
		assertThat(early).isLessThan(late / 2);
		assertThat(late).isGreaterThan(30);
	}

	private int countAt(String serverId, PlacementPolicy router, FleetView view, long nowMs, String prefix) {
		int count = 0;
		for (int chat = 0; chat < 600; chat++) {
			Map<String, ServerLoad> loads = this.fleet.loads(20_000, nowMs);
			loads.remove(serverId);
			String id = placeAndFinish(router, TestFleet.request(prefix + chat, 300, null), view, loads, nowMs + chat);
			count += id.equals(serverId) ? 1 : 0;
		}
		return count;
	}

	@Test
	void fasterServerReceivesMore() {
		FleetView view = this.fleet.put("s00", ServerState.ACTIVE, 3_000).view();
		PlacementPolicy router = router("r1");
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS);
		loads.put("s00", new ServerLoad("s00", 60_000, 12, START_MS));
		Map<String, Integer> placed = new HashMap<>();
		for (int chat = 0; chat < 700; chat++) {
			placed.merge(
					placeAndFinish(router, TestFleet.request("c" + chat, 300, null), view, loads, START_MS + chat * 20),
					1, Integer::sum);
		}
		assertThat(placed.get("s00")).isBetween(110, 200);
	}

	@Test
	void routersWithDifferentServerListsAgreeOnMostChats() {
		FleetView all = this.fleet.view();
		FleetView fewer = this.fleet.remove("s07").view();
		Map<String, ServerLoad> loads = this.fleet.loads(20_000, START_MS);
		int same = 0;
		for (int chat = 0; chat < 400; chat++) {
			PlacementRequest request = TestFleet.request("c" + chat, 300, null);
			String one = place(router("r1"), request, all, loads, START_MS).serverId();
			String two = place(router("r2"), request, fewer, loads, START_MS).serverId();
			same += one.equals(two) ? 1 : 0;
		}
		assertThat(same).isGreaterThan(340);
	}

	@Test
	void flappingServerDoesNotRegainItsChats() {
		FleetView view = this.fleet.view();
		PlacementPolicy router = router("r1");
		int placementsOnFlappingServer = 0;
		for (int flap = 0; flap < 20; flap++) {
			long nowMs = START_MS + flap * 3_000L;
			Map<String, ServerLoad> loads = this.fleet.loads(20_000, nowMs);
			PlacementRequest request = TestFleet.request("chat", 2_000, new ChatHint("s05", 1_900, START_MS - 1));
			String id = place(router, request, view, loads, nowMs).serverId();
			placementsOnFlappingServer += id.equals("s05") ? 1 : 0;
			boolean served = !id.equals("s05");
			router.finished(request, id, served ? new ServedOutcome(true, 0, 2_100) : ServedOutcome.FAILED, nowMs + 10);
		}
		assertThat(placementsOnFlappingServer).isEqualTo(1);
	}

	@Test
	void serversAtTheirRequestLimitAnswerFull() {
		FleetView view = new TestFleet(1).view();
		PlacementPolicy router = router("r1");
		PlacementDecision decision = null;
		for (int chat = 0; chat < 65; chat++) {
			decision = router.place(TestFleet.request("c" + chat, 300, null), TestFleet.SHARE, view, Map.of(),
					START_MS);
		}
		assertThat(decision).isInstanceOfSatisfying(PlacementDecision.Full.class,
				(full) -> assertThat(full.retryAfterMs()).isPositive());
	}

	@Test
	void requestsWhoseEndIsNeverReportedDoNotFillAServerForEver() {
		FleetView view = new TestFleet(2).view();
		PlacementPolicy router = router("r1");
		for (int chat = 0; chat < 128; chat++) {
			router.place(TestFleet.request("c" + chat, 300, null), TestFleet.SHARE, view, Map.of(), START_MS);
		}
		PlacementRequest request = TestFleet.request("next", 300, null);
		assertThat(router.place(request, TestFleet.SHARE, view, Map.of(), START_MS + 1_000))
			.isInstanceOf(PlacementDecision.Full.class);
		long laterMs = START_MS + 1_000_000;
		router.place(request, TestFleet.SHARE, view, Map.of(), laterMs);
		assertThat(router.place(request, TestFleet.SHARE, view, Map.of(), laterMs + 1_000))
			.isInstanceOf(PlacementDecision.Chosen.class);
	}

	@Test
	void unknownModelAndExcludedServersAreDistinguished() {
		FleetView view = new TestFleet(1).view();
		PlacementPolicy router = router("r1");
		PlacementRequest unknown = new PlacementRequest("c", "other", 10, 10, null, Set.of());
		assertThat(router.place(unknown, TestFleet.SHARE, view, Map.of(), START_MS))
			.isInstanceOf(PlacementDecision.None.class);
		assertThat(router.place(TestFleet.request("c", 10, null, "s00"), TestFleet.SHARE, view, Map.of(), START_MS))
			.isInstanceOf(PlacementDecision.Full.class);
	}

}
