package io.fescuehold.runtime.replica;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.agreement.AgreementTiming;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledging a proposal after a failed sync and against losing accepted
 * proposals on a full disk. Runs in virtual time.
 */
class ReplicaFaultTests {

	private static final List<String> HOSTS = List.of("a", "b", "c");

	private static final AgreementTiming TIMING = new AgreementTiming(50, 500, 400, 10);

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final MemoryNetwork network = new MemoryNetwork();

	private final Map<String, ReplicaRuntime> replicas = new HashMap<>();

	private final Map<String, MemoryStorage> stores = new HashMap<>();

	private final Map<String, ConcatenatingStateMachine> machines = new HashMap<>();

	@Test
	void failedSyncStopsTheLeaderWithoutAnAcknowledgement() {
		ReplicaRuntime leader = formGroup();
		String hostId = leader.status().hostId();
		List<Object> failures = collect(leader.failure());
		this.stores.get(hostId).syncError = ErrorCode.STORAGE_FAILED;
		HOSTS.stream().filter((other) -> !other.equals(hostId)).forEach(this.network::isolate);
		List<Object> outcomes = collect(leader.propose(bytes("x")));
		advanceTime(3_000);
		assertThat(outcomes).containsExactly(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(failures).hasSize(1);
		assertThat(this.stores.get(hostId).closed).isTrue();
		assertThat(leader.status().failure()).contains("a test makes the sync fail");
		assertThat(collectNow(leader.propose(bytes("y")))).containsExactly(ErrorCode.NOT_LEADER);
		this.network.heal();
		advanceTime(3_000);
		assertThat(leader()).isNotNull().isNotSameAs(leader);
	}

	@Test
	void fullDiskRefusesNewProposalsAndKeepsAcceptedOnes() {
		ReplicaRuntime leader = formGroup();
		MemoryStorage store = this.stores.get(leader.status().hostId());
		List<Object> accepted = collect(leader.propose(bytes("x")));
		this.time.advanceTime();
		store.syncError = ErrorCode.STORAGE_FULL;
		advanceTime(200);
		assertThat(accepted).as("replicated on a majority").containsExactly("x;");
		assertThat(collectNow(leader.propose(bytes("y")))).containsExactly(ErrorCode.STORAGE_FULL);
		assertThat(leader.status().role()).isEqualTo(Role.LEADER);
		store.syncError = null;
		advanceTime(1_000);
		assertThat(collectNow(leader.propose(bytes("z")))).containsExactly("x;z;");
		assertThat(store.load().entries().getLast().data()).isEqualTo(bytes("z"));
	}

	@Test
	void leaseExpiresWithoutAMajority() {
		ReplicaRuntime leader = formGroup();
		assertThat(collectNow(leader.readBarrier().thenReturn(bytes("read")))).containsExactly("read");
		this.network.isolate(leader.status().hostId());
		advanceTime(TIMING.leaseMs() + 20);
		assertThat(leader.status().role()).isEqualTo(Role.LEADER);
		List<Object> read = collect(leader.readBarrier());
		List<Object> proposal = collect(leader.propose(bytes("x")));
		advanceTime(5);
		assertThat(read).containsExactly(ErrorCode.NO_QUORUM);
		assertThat(proposal).containsExactly(ErrorCode.NO_QUORUM);
	}

	@Test
	void stateMachineFailureStopsTheReplica() {
		ReplicaRuntime leader = formGroup();
		this.machines.get(leader.status().hostId()).failure = new IllegalStateException("broken");
		List<Object> outcomes = collect(leader.propose(bytes("x")));
		advanceTime(200);
		assertThat(outcomes).containsExactly(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(leader.status().failure()).isEqualTo("broken");
	}

	/** Guards against a stopped replica that looks like one that knows no leader. */
	@Test
	void errorsAndStatusTellAStoppedReplicaFromOneWithoutALeader() {
		ReplicaRuntime leader = formGroup();
		ReplicaRuntime follower = this.replicas.values().stream().filter((other) -> other != leader).findAny().get();
		this.network.isolate(follower.status().hostId());
		advanceTime(3_000);
		assertThat(errorText(follower)).endsWith("the leader is unknown");
		assertThat(follower.status().phase()).isEqualTo(ReplicaStatus.Phase.RUNNING);
		this.stores.get(follower.status().hostId()).syncError = ErrorCode.STORAGE_FAILED;
		this.network.heal();
		advanceTime(3_000);
		collectNow(leader.propose(bytes("x")));
		assertThat(errorText(follower)).contains("the leader is unknown, and this replica has stopped: ")
			.contains("a test makes the sync fail");
		assertThat(follower.status().phase()).isEqualTo(ReplicaStatus.Phase.STOPPED);
	}

	private String errorText(ReplicaRuntime replica) {
		List<String> texts = new ArrayList<>();
		replica.readBarrier().subscribe((done) -> {
		}, (error) -> texts.add(error.getMessage()));
		advanceTime(100);
		return texts.getFirst();
	}

	private ReplicaRuntime formGroup() {
		for (String hostId : HOSTS) {
			ReplicaOptions options = new ReplicaOptions("g", hostId, Path.of("unused"), HOSTS, Map.of(), TIMING);
			MemoryStorage store = new MemoryStorage("store-" + hostId);
			ConcatenatingStateMachine machine = new ConcatenatingStateMachine();
			ReplicaRuntime replica = new ReplicaRuntime(options, new AgreementTransport(this.network.transport(hostId)),
					machine, this.time, new MetricRegistry(), hostId.hashCode(), () -> store, this.time);
			this.stores.put(hostId, store);
			this.machines.put(hostId, machine);
			this.replicas.put(hostId, replica);
			replica.start().subscribe();
		}
		advanceTime(5_000);
		assertThat(leader()).isNotNull();
		return leader();
	}

	private ReplicaRuntime leader() {
		return this.replicas.values()
			.stream()
			.filter((replica) -> replica.status().role() == Role.LEADER)
			.max((a, b) -> Long.compare(a.status().term(), b.status().term()))
			.orElse(null);
	}

	private void advanceTime(long durationMs) {
		for (long at = 0; at < durationMs; at += 5) {
			this.time.advanceTimeBy(Duration.ofMillis(5));
		}
	}

	private List<Object> collectNow(Mono<byte[]> outcome) {
		List<Object> collected = collect(outcome);
		advanceTime(100);
		return collected;
	}

	private static List<Object> collect(Mono<?> outcome) {
		List<Object> collected = new ArrayList<>();
		outcome.subscribe(
				(value) -> collected
					.add((value instanceof byte[] bytes) ? new String(bytes, StandardCharsets.UTF_8) : value),
				(error) -> collected.add(((FescueholdException) error).code()));
		return collected;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
