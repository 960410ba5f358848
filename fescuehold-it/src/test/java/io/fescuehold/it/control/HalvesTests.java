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
 * Guards against a share that depends on the hosts of the other share, and against a team
 * with two owners. The test that kills the hosts of one share runs last.
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

	private static void checkAcceptsChanges(String share, List<String> hosts) {
		long number = fleet.latestNumber(share);
		for (int i = 1; i <= 5; i++) {
			fleet.submitUntilAccepted(hosts, ControlFleet.createConfig(share, number + i, "ada"));
		}
		fleet.awaitInForce(hosts, share, number + 5);
	}

	/** Guards against a share that waits for hosts or connections of the other share. */
	@Order(2)
	@Test
	void halfGoesOnWithoutTheOther() {
		checkAcceptsChanges("north", NORTH);
		checkAcceptsChanges("south", SOUTH);
		try (RouterWatch watch = new RouterWatch(fleet, "north", "south")) {
			SOUTH.forEach(fleet::isolate);
			checkAcceptsChanges("north", NORTH);
			SOUTH.forEach(fleet::reconnect);
			fleet.awaitInForce(fleet.hostIds(), "north", fleet.latestNumber("north"));
			SOUTH.forEach(fleet::kill);
			checkAcceptsChanges("north", NORTH);
			assertThat(watch.violations()).isEmpty();
		}
	}

	/** Guards against a team that two shares own, or that returns to an earlier owner. */
	@Order(1)
	@Test
	void releaseAndClaimMoveTheTeamOnce() {
		long north = fleet.latestNumber("north");
		long south = fleet.latestNumber("south");
		ShareConfig listed = ShareConfigBuilder.share("north").number(north + 1).team("moving", TEAM).build();
		ShareConfig released = ShareConfigBuilder.next(listed).release(ItemKind.TEAM, "moving", "south").build();
		ShareConfig removed = ShareConfigBuilder.share("north").number(north + 3).build();
		ShareConfig claimed = ShareConfigBuilder.share("south")
			.number(south + 1)
			.claimTeam("moving", TEAM, "north", released.number())
			.build();
		fleet.submitUntilAccepted(fleet.hostIds(), listed);
		fleet.awaitInForce(fleet.hostIds(), "north", listed.number());
		Map<String, Integer> ownershipStages = new ConcurrentHashMap<>();
		List<String> order = List.of("south", "north");
		RouterWatch[] watch = new RouterWatch[1];
		watch[0] = new RouterWatch(fleet, fleet.hostIds(), order, (hostId, replies) -> {
			int ownershipStage = ownershipStage(replies.get("north").body(), replies.get("south").body());
			if (ownershipStage < ownershipStages.getOrDefault(hostId, 0)) {
				watch[0].addViolation("at " + hostId + " the team returned to owner " + OWNERS.get(ownershipStage));
			}
			ownershipStages.put(hostId, ownershipStage);
		});
		try (RouterWatch running = watch[0]) {
			Eventually.isTrue("north owns the team at every router", ControlFleet.IN_FORCE_TIMEOUT,
					() -> isOwnerAtAllRouters(ownershipStages, "north"));
			Reply early = fleet.submit("s1", "south", claimed).join();
			assertThat(early.code()).as("claim before the release").isEqualTo("SUBMISSION_INVALID");
			// Routers receive the configuration of north before the agreement group of
			// south
			// has applied its own observation of it. Only after that does south know that
			// north lists the team.
			Eventually.isTrue("south has observed the team in north", ControlFleet.IN_FORCE_TIMEOUT,
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
			fleet.submitUntilAccepted(NORTH, released);
			SOUTH.forEach(fleet::reconnect);
			fleet.submitUntilAccepted(fleet.hostIds(), claimed);
			Eventually.isTrue("south owns the team at every router", ControlFleet.IN_FORCE_TIMEOUT,
					() -> isOwnerAtAllRouters(ownershipStages, "south"));
			fleet.submitUntilAccepted(fleet.hostIds(), removed);
			fleet.awaitInForce(fleet.hostIds(), "north", removed.number());
			Eventually.isTrue("south still owns the team at every router", ControlFleet.IN_FORCE_TIMEOUT,
					() -> isOwnerAtAllRouters(ownershipStages, "south"));
			assertThat(running.violations()).isEmpty();
		}
	}

	private static boolean isOwnerAtAllRouters(Map<String, Integer> ownershipStages, String owner) {
		return ownershipStages.size() == fleet.hostIds().size() && ownershipStages.values()
			.stream()
			.allMatch((ownershipStage) -> OWNERS.get(ownershipStage).equals(owner));
	}

	// Derives the owner from the printed configurations, independently of the view that
	// routers use.
	private static int ownershipStage(JsonNode north, JsonNode south) {
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
