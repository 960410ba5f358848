package io.fescuehold.core.agreement;

import java.util.List;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a group without a leader when one of three voters is lost and the disk
 * of another needs longer for a sync than an election lasts.
 */
class SlowDiskElectionTests {

	private static final int SYNC_MS = 3 * (int) Simulation.TIMING.electionTimeoutMs();

	private static final long LIMIT_MS = 8 * Simulation.TIMING.electionTimeoutMs() + 4 * SYNC_MS;

	/**
	 * Guards against a candidate that starts its next election before its own vote in the
	 * previous one is durable.
	 * @param seed the seed
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void slowCandidateWithTheNewestLogIsElected(long seed) {
		Simulation simulation = new Simulation(seed, Simulation.Faults.NONE, 3, 0);
		List<SimHost> followers = start(simulation);
		SimHost newest = followers.getFirst();
		simulation.network.isolate(followers.getLast().hostId);
		simulation.clients.propose(simulation.leader());
		simulation.run(100);
		newest.extraSyncMs = SYNC_MS;
		loseLeader(simulation);
		assertElected(simulation);
		assertThat(newest.isLeader()).isTrue();
	}

	/**
	 * Guards against a candidate that drops a vote because it arrives during the
	 * pre-votes for the next election.
	 * @param seed the seed
	 */
	@Tag("known-red")
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void voteOfSlowVoterCounts(long seed) {
		Simulation simulation = new Simulation(seed, Simulation.Faults.NONE, 3, 0);
		List<SimHost> followers = start(simulation);
		simulation.network.isolate(followers.getLast().hostId);
		simulation.clients.propose(simulation.leader());
		simulation.run(100);
		followers.getLast().extraSyncMs = SYNC_MS;
		loseLeader(simulation);
		assertElected(simulation);
		assertThat(followers.getFirst().isLeader()).isTrue();
	}

	private static List<SimHost> start(Simulation simulation) {
		simulation.startAll();
		SimHost leader = simulation.awaitLeader();
		simulation.run(300);
		return simulation.hosts.values().stream().filter((host) -> host != leader).toList();
	}

	private static void loseLeader(Simulation simulation) {
		simulation.leader().crash();
		simulation.network.heal();
	}

	private static void assertElected(Simulation simulation) {
		boolean elected = simulation.runUntil(LIMIT_MS,
				() -> simulation.leader() != null && simulation.leader().node.hasLease(simulation.leader().clockMs()));
		assertThat(elected).as(simulation::describe).isTrue();
	}

}
