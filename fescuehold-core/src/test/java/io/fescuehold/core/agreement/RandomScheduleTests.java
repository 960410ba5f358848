package io.fescuehold.core.agreement;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests the safety invariants of the replicated log under random faults, and that the
 * checker detects replicas that acknowledge before their sync and clocks that drift
 * beyond the lease margin. Other seeds are run with
 * {@code -Dfescuehold.seeds=FIRST-LAST}.
 */
class RandomScheduleTests {

	private static final String DEFAULT_SEEDS = "1-1000";

	private static final long FAULT_SEEDS = 500;

	@Test
	void rulesHoldUnderRandomFaults() {
		String[] range = System.getProperty("fescuehold.seeds", DEFAULT_SEEDS).split("-");
		RandomSchedule.Totals totals = LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]))
			.mapToObj((seed) -> new RandomSchedule(seed, Simulation.Faults.NONE).run())
			.reduce(RandomSchedule.Totals.ZERO, RandomSchedule.Totals::plus);
		System.out.println("Seeds " + range[0] + "-" + range[1] + ": " + totals);
		assertThat(totals.acknowledged()).isPositive();
		assertThat(totals.reads()).isPositive();
		assertThat(totals.changes()).isPositive();
		assertThat(totals.installs()).isPositive();
	}

	@Test
	void acknowledgingAppendsBeforeTheirSyncIsDetected() {
		// Some seeds fail earlier, in the replica's own check against overwriting
		// committed
		// entries.
		assertThat(LongStream.rangeClosed(1, FAULT_SEEDS)
			.mapToObj((seed) -> violation(seed, new Simulation.Faults(false, true)))
			.anyMatch((message) -> message.matches("(?s).*(is lost|changed from|differ).*"))).isTrue();
	}

	@Test
	void acknowledgingVotesBeforeTheirSyncIsDetected() {
		assertThatThrownBy(() -> loseVoteInCrash(new Simulation.Faults(true, false)))
			.hasMessageContaining("has two leaders");
		loseVoteInCrash(Simulation.Faults.NONE);
	}

	@Test
	void clockDriftBeyondTheLeaseMarginIsDetected() {
		assertThatThrownBy(() -> readAtIsolatedLeader(0.2)).hasMessageContaining("Stale read");
		readAtIsolatedLeader(1);
	}

	private static String violation(long seed, Simulation.Faults faults) {
		try {
			new RandomSchedule(seed, faults).run();
			return "";
		}
		catch (AssertionError ex) {
			return ex.getMessage();
		}
	}

	private static void loseVoteInCrash(Simulation.Faults faults) {
		Simulation simulation = new Simulation(1, faults, 3, 0);
		simulation.startAll();
		SimHost old = simulation.awaitLeader();
		simulation.run(100);
		List<SimHost> others = simulation.hosts.values().stream().filter((host) -> host != old).toList();
		others.getLast().syncsHang = true;
		simulation.network.isolate(old.hostId);
		simulation.run(1_000);
		others.getLast().crashLosingUnsynced();
		others.getLast().syncsHang = false;
		others.getLast().start();
		simulation.network.heal();
		simulation.network.isolate(others.getFirst().hostId);
		simulation.run(2_000);
	}

	private static void readAtIsolatedLeader(double clockRate) {
		Simulation simulation = new Simulation(1, Simulation.Faults.NONE, 3, 0);
		simulation.startAll();
		SimHost old = simulation.awaitLeader();
		simulation.run(100);
		old.setClockRate(clockRate);
		simulation.network.isolate(old.hostId);
		boolean replaced = simulation.runUntil(2_000, () -> simulation.leader() != null && simulation.leader() != old);
		assertThat(replaced).isTrue();
		long id = simulation.clients.propose(simulation.leader());
		assertThat(simulation.runUntil(100, () -> simulation.clients.acknowledged.containsKey(id))).isTrue();
		simulation.clients.read(old);
		simulation.run(10);
	}

}
