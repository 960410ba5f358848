package io.fescuehold.it.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.it.harness.Eventually;
import io.fescuehold.it.harness.FleetSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against halves that need each other, and against a team with two owners. The
 * test that kills one half comes last.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class HalvesTests {

	private static final List<String> NORTH = List.of("n1", "n2", "n3");

	private static final List<String> SOUTH = List.of("s1", "s2", "s3");

	private static final List<String> OWNERS = List.of("north", "", "south");

	private static final TeamSpec TEAM = new TeamSpec(3, 0);

	@TempDir
	private static Path folder;

	private static ControlFleet fleet;

	@BeforeAll
	static void startFleet() {
		FleetSettings settings = new FleetSettings(folder, true);
		List<String> hostIds = new ArrayList<>(NORTH);
		hostIds.addAll(SOUTH);
		hostIds.forEach((hostId) -> settings.host(hostId, "zone-" + hostId.charAt(1), "router", "replica"));
		settings.share("north", NORTH.toArray(String[]::new)).share("south", SOUTH.toArray(String[]::new));
		fleet = new ControlFleet(folder, settings, hostIds);
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	private static void checkGoesOn(String share, List<String> hosts) {
		long number = fleet.number(share);
		for (int i = 1; i <= 5; i++) {
			fleet.accept(hosts, ControlFleet.change(share, number + i, "ada"));
		}
		fleet.awaitInForce(hosts, share, number + 5);
	}

	/** Guards against a half that waits for hosts or links of the other half. */
	@Order(2)
	@Test
	void halfGoesOnWithoutTheOther() {
		checkGoesOn("north", NORTH);
		checkGoesOn("south", SOUTH);
		try (RouterWatch watch = new RouterWatch(fleet, "north", "south")) {
			SOUTH.forEach(fleet::isolate);
			checkGoesOn("north", NORTH);
			SOUTH.forEach(fleet::reconnect);
			fleet.awaitInForce(fleet.hostIds(), "north", fleet.number("north"));
			SOUTH.forEach(fleet::kill);
			checkGoesOn("north", NORTH);
			assertThat(watch.violations()).isEmpty();
		}
	}

	/** Guards against a team that two shares own, or whose owner goes back. */
	@Order(1)
	@Test
	void releaseAndClaimMoveTheTeamOnce() {
		long north = fleet.number("north");
		long south = fleet.number("south");
		ShareConfig listed = ShareConfigBuilder.share("north").number(north + 1).team("moving", TEAM).build();
		ShareConfig released = ShareConfigBuilder.next(listed).release(ItemKind.TEAM, "moving", "south").build();
		ShareConfig removed = ShareConfigBuilder.share("north").number(north + 3).build();
		ShareConfig claimed = ShareConfigBuilder.share("south")
			.number(south + 1)
			.claimTeam("moving", TEAM, "north", released.number())
			.build();
		fleet.accept(fleet.hostIds(), listed);
		fleet.awaitInForce(fleet.hostIds(), "north", listed.number());
		Map<String, Integer> stages = new ConcurrentHashMap<>();
		List<String> order = List.of("south", "north");
		RouterWatch[] watch = new RouterWatch[1];
		watch[0] = new RouterWatch(fleet, fleet.hostIds(), order, (hostId, replies) -> {
			int stage = stage(replies.get("north").body(), replies.get("south").body());
			if (stage < stages.getOrDefault(hostId, 0)) {
				watch[0].note("at " + hostId + " the owner went back to " + OWNERS.get(stage));
			}
			stages.put(hostId, stage);
		});
		try (RouterWatch running = watch[0]) {
			Eventually.isTrue("every router names north", ControlFleet.IN_FORCE, () -> allAt(stages, "north"));
			Reply early = fleet.submit("s1", "south", claimed).join();
			assertThat(early.code()).as("claim before the release").isEqualTo("SUBMISSION_INVALID");
			// The routers hear of north before the group of south has applied what it
			// observed, and only then south can know that the team is listed there.
			Eventually.isTrue("south has observed the team in north", ControlFleet.IN_FORCE,
					() -> fleet.submit("s1", "south", claimed)
						.join()
						.body()
						.toString()
						.contains("observed here at number " + listed.number() + " only"));
			Reply taken = fleet
				.submit("s1", "south", ShareConfigBuilder.share("south").number(south + 1).team("moving", TEAM).build())
				.join();
			assertThat(taken.code()).as("team without a claim").isEqualTo("SUBMISSION_INVALID");

			SOUTH.forEach(fleet::isolate);
			fleet.accept(NORTH, released);
			SOUTH.forEach(fleet::reconnect);
			fleet.accept(fleet.hostIds(), claimed);
			Eventually.isTrue("every router names south", ControlFleet.IN_FORCE, () -> allAt(stages, "south"));
			fleet.accept(fleet.hostIds(), removed);
			fleet.awaitInForce(fleet.hostIds(), "north", removed.number());
			Eventually.isTrue("every router still names south", ControlFleet.IN_FORCE, () -> allAt(stages, "south"));
			assertThat(running.violations()).isEmpty();
		}
	}

	private static boolean allAt(Map<String, Integer> stages, String owner) {
		return stages.size() == fleet.hostIds().size()
				&& stages.values().stream().allMatch((stage) -> OWNERS.get(stage).equals(owner));
	}

	// Computed from the printed configurations, apart from the view that routers use.
	private static int stage(JsonNode north, JsonNode south) {
		boolean released = !north.path("releases").isEmpty();
		boolean northOwns = north.path("teams").has("moving") && !released;
		boolean southOwns = south.path("teams").has("moving") && !south.path("claims").isEmpty()
				&& north.path("number").asLong() >= south.path("claims").path(0).path("releaseNumber").asLong();
		if (northOwns && southOwns) {
			throw new IllegalStateException("two owners: " + north + " and " + south);
		}
		return OWNERS.indexOf(northOwns ? "north" : southOwns ? "south" : "");
	}

}
