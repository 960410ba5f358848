package io.fescuehold.it.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.fescuehold.config.ShareConfig;
import io.fescuehold.it.harness.FleetSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a replica that votes after it has lost its log, and against a
 * replacement that is reported as complete before the replica has caught up.
 */
class LostDiskTests {

	/**
	 * Four election timeouts. A submission that is not accepted within this time shows
	 * that there is no majority.
	 */
	private static final Duration NO_MAJORITY_TIMEOUT = Duration.ofSeconds(4);

	@TempDir
	private Path folder;

	/** Guards against accepted changes that are lost when a second disk is lost. */
	@Test
	void replacedReplicaCarriesAllChangesWhenTheLeaderIsLostNext() {
		Operator.AcceptedChanges accepted = new Operator.AcceptedChanges();
		try (ControlFleet fleet = ControlFleet.north(this.folder, new FleetSettings(this.folder, true), 1);
				RouterWatch watch = new RouterWatch(fleet, "north")) {
			String leader = fleet.leader("north");
			List<String> followers = List.of("a", "b", "c").stream().filter((id) -> !id.equals(leader)).toList();
			String lost = followers.getFirst();
			try (Operator operator = new Operator(fleet, "north", "ada", accepted)) {
				operator.awaitAccepted(20);
				loseDisk(fleet, watch, lost);
				fleet.start(lost);
				operator.awaitAccepted(5);
			}
			checkDoesNotVote(fleet, lost, followers.getLast());
			try (Operator operator = new Operator(fleet, "north", "ben", accepted)) {
				operator.awaitAccepted(5);
				Reply replaced = fleet.replaceReplica("north", lost, lost, "repair-1").join();
				loseDisk(fleet, watch, fleet.leader("north"));
				assertThat(replaced.isAccepted()).as("reply %s", replaced).isTrue();
				operator.awaitAccepted(20);
			}
			List<String> live = fleet.hostIds().stream().filter((id) -> fleet.daemon(id).isAlive()).toList();
			assertThat(live).hasSize(3).contains(lost);
			fleet.awaitInForce(live, "north", fleet.latestNumber("north"));
			assertThat(accepted.violations(fleet)).isEmpty();
			assertThat(watch.violations()).isEmpty();
		}
	}

	private static void loseDisk(ControlFleet fleet, RouterWatch watch, String hostId) {
		fleet.kill(hostId);
		fleet.deleteData(hostId);
		watch.forget(hostId);
	}

	// With one voter frozen, there is a majority only if the replica without data votes.
	private static void checkDoesNotVote(ControlFleet fleet, String replicaWithoutData, String frozen) {
		long number = fleet.latestNumber("north");
		ShareConfig config = ControlFleet.createConfig("north", number + 1, "cy");
		fleet.daemon(frozen).freeze();
		try {
			assertThatExceptionOfType(CompletionException.class)
				.isThrownBy(() -> fleet.submit(replicaWithoutData, "north", config)
					.orTimeout(NO_MAJORITY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
					.join());
		}
		finally {
			fleet.daemon(frozen).resume();
		}
		fleet.submitUntilAccepted(List.of(replicaWithoutData), config);
	}

}
