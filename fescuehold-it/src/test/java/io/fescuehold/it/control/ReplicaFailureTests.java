package io.fescuehold.it.control;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.it.harness.FleetSettings;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two accepted configurations with the same number, and against accepted
 * changes that are lost or reverted when a replica is killed, frozen or disconnected. At
 * the end of every test, all replicas run and are connected.
 */
class ReplicaFailureTests {

	private static final List<String> OPERATORS = List.of("ada", "ben", "cy");

	private static final Duration LEASE_DURATION = Duration.ofMillis(700);

	/** Longer than the 1.5 s after which the transport replaces a silent connection. */
	private static final Duration FAULT_DURATION = Duration.ofSeconds(3);

	@TempDir
	private static Path folder;

	private static ControlFleet fleet;

	private final Operator.AcceptedChanges accepted = new Operator.AcceptedChanges();

	private RouterWatch watch;

	@BeforeAll
	static void startFleet() {
		FleetSettings settings = new FleetSettings(folder, true);
		OPERATORS.forEach((operator) -> settings.operator(operator, "north"));
		fleet = ControlFleet.north(folder, settings, 1);
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	@BeforeEach
	void startWatch() {
		this.watch = new RouterWatch(fleet, "north");
	}

	@AfterEach
	void healAndCheck() {
		fleet.hostIds().forEach(fleet::reconnect);
		fleet.awaitInForce(fleet.hostIds(), "north", fleet.latestNumber("north"));
		this.watch.close();
		assertThat(this.watch.violations()).isEmpty();
		assertThat(this.watch.reads()).isGreaterThan(fleet.hostIds().size());
		assertThat(this.accepted.violations(fleet)).isEmpty();
	}

	private Operator operator() {
		return new Operator(fleet, "north", "ada", this.accepted);
	}

	// The read makes the daemon of the leader send the next requests to itself without a
	// leader search.
	private static String leaderAfterRead() {
		String leader = fleet.leader("north");
		assertThat(fleet.get(leader, "shares/north").isAccepted()).isTrue();
		return leader;
	}

	private static String follower() {
		String leader = fleet.leader("north");
		return List.of("a", "b", "c").stream().filter((hostId) -> !hostId.equals(leader)).findFirst().orElseThrow();
	}

	private static List<Reply> race(long number) {
		List<CompletableFuture<Reply>> answers = new ArrayList<>();
		for (int i = 0; i < OPERATORS.size(); i++) {
			ShareConfig config = ControlFleet.createConfig("north", number, OPERATORS.get(i));
			answers.add(fleet.submit(fleet.hostIds().get(i), OPERATORS.get(i), config));
		}
		return answers.stream().map(CompletableFuture::join).toList();
	}

	private static int checkRace(List<Reply> replies, long number) {
		List<Integer> winners = IntStream.range(0, OPERATORS.size())
			.boxed()
			.filter((i) -> replies.get(i).isAccepted())
			.toList();
		assertThat(winners).as("replies %s", replies).hasSize(1);
		int winner = winners.getFirst();
		String digest = ConfigJson.digest(ControlFleet.createConfig("north", number, OPERATORS.get(winner)));
		assertThat(replies.get(winner).body().path("digest").asText()).isEqualTo(digest);
		replies.stream().filter((reply) -> !reply.isAccepted()).forEach((reply) -> {
			assertThat(reply.isConflict()).as("reply %s", reply).isTrue();
			assertThat(reply.body().path("winnerDigest").asText()).isEqualTo(digest);
			assertThat(reply.body().path("winnerOperator").asText())
				.isEqualTo(FleetSettings.token(OPERATORS.get(winner)));
		});
		return winner;
	}

	/**
	 * Guards against a second accepted submission with the same number, and against
	 * responses that change when the leader changes or all daemons restart.
	 */
	@Test
	@Tag("known-red")
	void oneOfThreeSubmissionsWinsAndKeepsItsAnswerOverLeaderChangeAndRestart() {
		long last = fleet.latestNumber("north") + 10;
		String leader = fleet.leader("north");
		for (long number = last - 9; number < last; number++) {
			checkRace(race(number), number);
		}
		List<Reply> replies = race(last);
		int winner = checkRace(replies, last);
		ShareConfig won = ControlFleet.createConfig("north", last, OPERATORS.get(winner));
		ShareConfig lost = ControlFleet.createConfig("north", last, OPERATORS.get((winner + 1) % OPERATORS.size()));

		fleet.kill(leader);
		assertThat(fleet.submitUntilAccepted(fleet.otherHosts(leader), won).body())
			.isEqualTo(replies.get(winner).body());
		fleet.otherHosts(leader).forEach(fleet::kill);
		fleet.startAll();

		assertThat(fleet.submitUntilAccepted(fleet.hostIds(), won).body()).isEqualTo(replies.get(winner).body());
		fleet.hostIds().forEach((hostId) -> {
			Reply refused = fleet.submit(hostId, "north", lost).join();
			assertThat(refused.isConflict()).as("reply %s", refused).isTrue();
			assertThat(refused.body().path("winnerDigest").asText()).isEqualTo(ConfigJson.digest(won));
		});
	}

	/** Guards against an accepted change that only the killed leader has stored. */
	@Test
	void killOfLeaderLosesNoAcceptedChange() {
		try (Operator operator = operator()) {
			operator.awaitAccepted(20);
			String leader = fleet.leader("north");
			fleet.kill(leader);
			operator.awaitAccepted(20);
			fleet.start(leader);
			operator.awaitAccepted(20);
		}
	}

	/**
	 * Guards against a leader that relies on a lease that expired while it was frozen.
	 */
	@Test
	void resumedLeaderServesNothingOldAndAcceptsNothing() {
		String old = leaderAfterRead();
		long next = fleet.latestNumber("north") + 1;
		ShareConfig change = ControlFleet.createConfig("north", next, "ben");
		fleet.daemon(old).freeze();
		List<CompletableFuture<Reply>> reads;
		CompletableFuture<Reply> submission;
		try {
			long frozenAtNanos = System.nanoTime();
			fleet.submitUntilAccepted(fleet.otherHosts(old), change);
			assertThat(System.nanoTime() - frozenAtNanos).as("lease").isGreaterThan(LEASE_DURATION.toNanos());
			// These requests wait in the socket buffers and are the first input of the
			// old
			// leader after it resumes.
			reads = IntStream.range(0, 20)
				.mapToObj(
						(i) -> fleet.send(old, "GET", "shares/north", new byte[0], "*", ControlFleet.IN_FORCE_TIMEOUT))
				.toList();
			submission = fleet.submit(old, "north", ControlFleet.createConfig("north", next, "cy"));
		}
		finally {
			fleet.daemon(old).resume();
		}
		assertThat(submission.join().isConflict()).as("reply %s", submission.join()).isTrue();
		reads.stream()
			.map(CompletableFuture::join)
			.filter(Reply::isAccepted)
			.forEach((reply) -> assertThat(reply.number()).isGreaterThanOrEqualTo(next));
	}

	/** Guards against a silent follower that blocks the group or never catches up. */
	@Test
	void silentFollowerCatchesUp() {
		String follower = follower();
		submitChangesDuringFault(follower, () -> fleet.isolate(follower));
	}

	/** Guards against a silent leader that keeps its role or accepts changes alone. */
	@Test
	void silentLeaderIsReplacedAndCatchesUp() {
		String leader = leaderAfterRead();
		ShareConfig alone = ControlFleet.createConfig("north", fleet.latestNumber("north") + 1, "cy");
		submitChangesDuringFault(leader, () -> {
			fleet.isolate(leader);
			Reply reply = orNull(
					fleet.submit(leader, "cy", alone).orTimeout(LEASE_DURATION.toMillis(), TimeUnit.MILLISECONDS));
			assertThat(reply == null || !reply.isAccepted()).as("reply %s", reply).isTrue();
		});
	}

	/**
	 * Guards against a leader whose heartbeats prevent an election although it receives
	 * no acknowledgements.
	 */
	@Test
	void leaderThatHearsNothingIsReplaced() {
		String leader = fleet.leader("north");
		submitChangesDuringFault(leader, () -> fleet.dropPeerTraffic(leader, false));
	}

	/** Guards against a follower that receives nothing and deposes the leader. */
	@Test
	void followerThatHearsNothingCatchesUp() {
		String follower = follower();
		submitChangesDuringFault(follower, () -> fleet.dropPeerTraffic(follower, false));
	}

	/**
	 * Guards against a follower that never catches up after its messages were dropped.
	 */
	@Tag("matrix")
	@Test
	void followerThatIsNotHeardCatchesUp() {
		String follower = follower();
		submitChangesDuringFault(follower, () -> fleet.dropPeerTraffic(follower, true));
	}

	private void submitChangesDuringFault(String hostId, Runnable injectFault) {
		long number = fleet.latestNumber("north");
		injectFault.run();
		long endNanos = System.nanoTime() + FAULT_DURATION.toNanos();
		int count = 0;
		while (count < 5 || System.nanoTime() < endNanos) {
			fleet.submitUntilAccepted(fleet.otherHosts(hostId), ControlFleet.createConfig("north", ++number, "ada"));
			count++;
		}
		Reply current = orNull(fleet.send(hostId, "GET", "shares/north", new byte[0], "*", LEASE_DURATION));
		assertThat(current == null || !current.isAccepted() || current.number() == number).as("reply %s", current)
			.isTrue();
	}

	private static Reply orNull(CompletableFuture<Reply> reply) {
		try {
			return reply.join();
		}
		catch (CompletionException ex) {
			// A daemon that reaches no leader keeps searching and does not respond in
			// time.
			return null;
		}
	}

}
