package io.fescuehold.it.control;

import java.nio.file.Path;
import java.util.List;
import java.util.Random;

import io.fescuehold.config.ShareConfig;
import io.fescuehold.it.harness.FleetSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against accepted changes that are lost over many kills or in a long log.
 */
@Tag("matrix")
class ControlMatrixTests {

	private static final int KILLS = 6;

	private static final int MAX_PAUSE_MS = 2_000;

	private static final int CHANGES = 500;

	@TempDir
	private Path folder;

	/**
	 * Guards against lost changes in orders of kills and restarts that other tests do not
	 * cover.
	 * @param seed the seed of the schedule
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void killsAtRandomPointsLoseNothing(long seed) throws InterruptedException {
		Random random = new Random(seed);
		Operator.AcceptedChanges accepted = new Operator.AcceptedChanges();
		FleetSettings settings = new FleetSettings(this.folder, true).timing("snapshotEveryEntries", 100);
		try (ControlFleet fleet = ControlFleet.north(this.folder, settings, 2);
				RouterWatch watch = new RouterWatch(fleet, "north")) {
			try (Operator first = new Operator(fleet, "north", "ada", accepted);
					Operator second = new Operator(fleet, "north", "ben", accepted)) {
				for (int i = 0; i < KILLS; i++) {
					Thread.sleep(random.nextInt(MAX_PAUSE_MS));
					String leader = fleet.leader("north");
					List<String> followers = List.of("a", "b", "c")
						.stream()
						.filter((id) -> !id.equals(leader))
						.toList();
					String killed = random.nextBoolean() ? leader : followers.get(random.nextInt(followers.size()));
					fleet.kill(killed);
					Thread.sleep(random.nextInt(MAX_PAUSE_MS));
					fleet.start(killed);
				}
				first.awaitAccepted(5);
				second.awaitAccepted(5);
			}
			fleet.awaitInForce(fleet.hostIds(), "north", fleet.latestNumber("north"));
			System.out.printf("seed %d: %d changes accepted, %d reads of routers%n", seed, accepted.count(),
					watch.reads());
			assertThat(accepted.violations(fleet)).isEmpty();
			assertThat(watch.violations()).isEmpty();
		}
	}

	/**
	 * Guards against a log or a snapshot that is not read completely after a restart.
	 * @param snapshotEveryEntries the number of log entries between snapshots
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2_000, 60 })
	void restartOfAllDaemonsAfterManyChangesKeepsAllAnswers(int snapshotEveryEntries) {
		Operator.AcceptedChanges accepted = new Operator.AcceptedChanges();
		FleetSettings settings = new FleetSettings(this.folder, true).timing("snapshotEveryEntries",
				snapshotEveryEntries);
		try (ControlFleet fleet = ControlFleet.north(this.folder, settings, 2);
				RouterWatch watch = new RouterWatch(fleet, "north")) {
			try (Operator operator = new Operator(fleet, "north", "ada", accepted)) {
				while (accepted.count() < CHANGES) {
					operator.awaitAccepted(1);
				}
			}
			long number = fleet.latestNumber("north");
			fleet.hostIds().forEach(fleet::kill);
			fleet.startAll();
			fleet.awaitInForce(fleet.hostIds(), "north", number);
			assertThat(accepted.violations(fleet)).isEmpty();
			ShareConfig next = ControlFleet.createConfig("north", number + 1, "ben");
			fleet.submitUntilAccepted(fleet.hostIds(), next);
			fleet.awaitInForce(fleet.hostIds(), "north", number + 1);
			assertThat(watch.violations()).isEmpty();
		}
	}

	/** Guards against a replica that has lost its log and prevents further changes. */
	@Test
	void replacingEveryReplicaInTurnKeepsAllChanges() {
		Operator.AcceptedChanges accepted = new Operator.AcceptedChanges();
		FleetSettings settings = new FleetSettings(this.folder, true).timing("snapshotEveryEntries", 60);
		try (ControlFleet fleet = ControlFleet.north(this.folder, settings, 1);
				RouterWatch watch = new RouterWatch(fleet, "north");
				Operator operator = new Operator(fleet, "north", "ada", accepted)) {
			for (String hostId : List.of("a", "b", "c", "a")) {
				operator.awaitAccepted(50);
				fleet.kill(hostId);
				fleet.deleteData(hostId);
				watch.forget(hostId);
				fleet.start(hostId);
				Reply replaced = fleet.replaceReplica("north", hostId, hostId, "repair-" + accepted.count()).join();
				assertThat(replaced.isAccepted()).as("reply %s", replaced).isTrue();
			}
			operator.awaitAccepted(5);
			operator.close();
			fleet.awaitInForce(fleet.hostIds(), "north", fleet.latestNumber("north"));
			assertThat(accepted.violations(fleet)).isEmpty();
			assertThat(watch.violations()).isEmpty();
		}
	}

}
