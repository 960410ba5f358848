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
 * Guards against a replica that votes without its log, and against a repair that reports
 * completion too early.
 */
class LostDiskTests {

	/** Four election timeouts. */
	private static final Duration NO_MAJORITY = Duration.ofSeconds(4);

	@TempDir
	private Path folder;

	/** Guards against accepted changes that are lost with the second host. */
	@Test
	void replacedReplicaCarriesAllChangesWhenTheLeaderIsLostNext() {
		Operator.Accepted accepted = new Operator.Accepted();
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
			checkNoVote(fleet, lost, followers.getLast());
			try (Operator operator = new Operator(fleet, "north", "ben", accepted)) {
				operator.awaitAccepted(5);
				Reply replaced = fleet.replace("north", lost, lost, "repair-1").join();
				loseDisk(fleet, watch, fleet.leader("north"));
				assertThat(replaced.isAccepted()).as("reply %s", replaced).isTrue();
				operator.awaitAccepted(20);
			}
			List<String> left = fleet.hostIds().stream().filter((id) -> fleet.daemon(id).isAlive()).toList();
			assertThat(left).hasSize(3).contains(lost);
			fleet.awaitInForce(left, "north", fleet.number("north"));
			assertThat(accepted.violations(fleet)).isEmpty();
			assertThat(watch.violations()).isEmpty();
		}
	}

	private static void loseDisk(ControlFleet fleet, RouterWatch watch, String hostId) {
		fleet.kill(hostId);
		fleet.deleteData(hostId);
		watch.forget(hostId);
	}

	// With one voter frozen, only the vote of the emptied replica could make a majority.
	private static void checkNoVote(ControlFleet fleet, String emptied, String frozen) {
		long number = fleet.number("north");
		ShareConfig config = ControlFleet.change("north", number + 1, "cy");
		fleet.daemon(frozen).freeze();
		try {
			assertThatExceptionOfType(CompletionException.class).isThrownBy(() -> fleet.submit(emptied, "north", config)
				.orTimeout(NO_MAJORITY.toMillis(), TimeUnit.MILLISECONDS)
				.join());
		}
		finally {
			fleet.daemon(frozen).resume();
		}
		fleet.accept(List.of(emptied), config);
	}

}
