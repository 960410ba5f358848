package io.fescuehold.runtime.replica;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fescuehold.core.agreement.AgreementOptions;
import io.fescuehold.core.agreement.AgreementTiming;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards the path of a proposal through disk and transport to the state machines, and the
 * restart, replacement and isolation of replicas.
 */
class ReplicaRuntimeTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final List<String> HOSTS = List.of("a", "b", "c");

	private static final Map<String, String> DOMAINS = Map.of("a", "d1", "b", "d2", "c", "d3", "d", "d1");

	private final MemoryNetwork network = new MemoryNetwork();

	private final Map<String, ReplicaRuntime> replicas = new HashMap<>();

	private final Map<String, ConcatenatingStateMachine> machines = new HashMap<>();

	private final Map<String, MetricRegistry> metrics = new HashMap<>();

	@TempDir
	private Path folder;

	@AfterEach
	void stopAll() {
		this.network.heal();
		this.replicas.values().forEach((replica) -> replica.stop().block(TIMEOUT));
	}

	@Test
	void proposalIsAppliedEverywhere() {
		HOSTS.forEach(this::start);
		ReplicaRuntime leader = awaitLeader();
		byte[] outcome = leader.propose(bytes("x")).block(TIMEOUT);
		assertThat(new String(outcome, StandardCharsets.UTF_8)).isEqualTo("x;");
		leader.readBarrier().block(TIMEOUT);
		HOSTS.forEach((hostId) -> await(() -> this.machines.get(hostId).state().equals("x;")));
	}

	@Test
	void restartRestoresStateFromSnapshotAndLog() {
		HOSTS.forEach(this::start);
		ReplicaRuntime leader = awaitLeader();
		StringBuilder expected = new StringBuilder();
		for (int i = 0; i < 120; i++) {
			leader.propose(bytes("p" + i)).block(TIMEOUT);
			expected.append('p').append(i).append(';');
		}
		HOSTS.forEach((hostId) -> this.replicas.remove(hostId).stop().block(TIMEOUT));
		HOSTS.forEach(this::start);
		awaitLeader().readBarrier().block(TIMEOUT);
		HOSTS.forEach((hostId) -> await(() -> this.machines.get(hostId).state().contentEquals(expected)));
	}

	@Test
	void concurrentProposalsShareSyncs() {
		HOSTS.forEach(this::start);
		ReplicaRuntime leader = awaitLeader();
		Timer syncs = this.metrics.get(leader.status().hostId()).timer("agreement.g.disk.sync");
		long before = syncs.getCount();
		int proposals = 300;
		Flux.range(0, proposals).flatMap((i) -> leader.propose(bytes("p")), proposals).blockLast(TIMEOUT);
		assertThat(syncs.getCount() - before).isLessThan(proposals);
	}

	@Test
	void stoppingLeaderHandsOverLeadership() {
		HOSTS.forEach(this::start);
		ReplicaRuntime leader = awaitLeader();
		String old = leader.status().hostId();
		long term = leader.status().term();
		this.replicas.remove(old).stop().block(TIMEOUT);
		assertThat(awaitLeader().status().term()).isEqualTo(term + 1);
	}

	@Test
	void lostReplicaIsReplaced() {
		HOSTS.forEach(this::start);
		ReplicaRuntime leader = awaitLeader();
		int proposals = AgreementOptions.DEFAULT_KEEP_ENTRIES * 2;
		Flux.range(0, proposals).flatMap((i) -> leader.propose(bytes("x"))).blockLast(TIMEOUT);
		await(() -> leader.status().compactedIndex() > 0);
		String lost = HOSTS.stream().filter((hostId) -> !hostId.equals(leader.status().hostId())).findFirst().get();
		this.replicas.remove(lost).stop().block(TIMEOUT);
		start("d");
		leader.replace("r1", lost, "d").block(TIMEOUT);
		leader.replace("r1", lost, "d").block(TIMEOUT);
		assertThat(leader.status().members()).extracting(ReplicaStatus.MemberStatus::hostId)
			.contains("d")
			.doesNotContain(lost);
		assertThat(this.machines.get("d").state()).as("snapshot and log").isEqualTo("x;".repeat(proposals));
	}

	@Test
	void isolatedLeaderRefusesReadsAndProposals() {
		HOSTS.forEach(this::start);
		ReplicaRuntime leader = awaitLeader();
		this.network.isolate(leader.status().hostId());
		await(() -> leader.status().role() != Role.LEADER);
		assertThatThrownBy(() -> leader.readBarrier().block(TIMEOUT)).isInstanceOfSatisfying(FescueholdException.class,
				(ex) -> assertThat(ex.code()).isEqualTo(ErrorCode.NOT_LEADER));
		assertThatThrownBy(() -> leader.propose(bytes("x")).block(TIMEOUT)).isInstanceOfSatisfying(
				FescueholdException.class, (ex) -> assertThat(ex.code()).isEqualTo(ErrorCode.NOT_LEADER));
	}

	private void start(String hostId) {
		ReplicaOptions options = new ReplicaOptions("g", hostId, this.folder.resolve(hostId), HOSTS, DOMAINS,
				new AgreementTiming(50, 1_000, 800, 50));
		ConcatenatingStateMachine machine = new ConcatenatingStateMachine();
		MetricRegistry registry = new MetricRegistry();
		this.metrics.put(hostId, registry);
		ReplicaRuntime replica = new ReplicaRuntime(options, new AgreementTransport(this.network.transport(hostId)),
				machine, new MonotonicScheduler(Schedulers.parallel()), registry, hostId.hashCode());
		this.machines.put(hostId, machine);
		this.replicas.put(hostId, replica);
		replica.start().block(TIMEOUT);
	}

	private ReplicaRuntime awaitLeader() {
		ReplicaRuntime[] found = new ReplicaRuntime[1];
		await(() -> {
			found[0] = this.replicas.values()
				.stream()
				.filter((replica) -> replica.status().role() == Role.LEADER)
				.findFirst()
				.orElse(null);
			return found[0] != null;
		});
		return found[0];
	}

	private static void await(BooleanSupplier condition) {
		long endNs = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("time limit").isLessThan(endNs);
			Thread.onSpinWait();
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
