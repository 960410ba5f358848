package io.fescuehold.runtime.replica;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.agreement.AgreementTiming;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.port.ReplicatedStateMachine;
import io.fescuehold.runtime.storage.LimitedDisk;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes that are refused or stay unanswered for good after disks were
 * full for a time, one after another, or because the log itself takes up the reserve of a
 * small disk. Runs in virtual time.
 */
class FullDiskSeriesTests {

	private static final List<String> HOSTS = List.of("a", "b", "c");

	private static final AgreementTiming TIMING = new AgreementTiming(50, 500, 400, 1_000);

	private static final long SMALL_DISK_BYTES = 64L << 20;

	/** The time within which a change must be acknowledged. */
	private static final long ACKNOWLEDGED_WITHIN_MS = 4_000;

	private static final long RETRY_MS = 200;

	private static final int LARGE_CHANGE_BYTES = 400_000;

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final MemoryNetwork network = new MemoryNetwork();

	private final Map<String, LimitedDisk> disks = new HashMap<>();

	private final Map<String, ReplicaRuntime> replicas = new HashMap<>();

	private final Map<String, LastChanges> machines = new HashMap<>();

	private final List<String> acknowledged = new ArrayList<>();

	private int starts;

	@TempDir
	private Path folder;

	// 64 MB hold 160 such changes, so that the log must be cut while the storm lasts.
	@Test
	void stormOfLargeChangesDoesNotTakeUpTheReserve() {
		start(List.of("a"));
		for (int number = 1; number <= 250; number++) {
			assertThat(submit("change-" + number, LARGE_CHANGE_BYTES, ACKNOWLEDGED_WITHIN_MS))
				.as("change %d is acknowledged", number)
				.isTrue();
		}
	}

	// The leader refused every change, and nothing was written that would have shown that
	// there was room again.
	@Test
	void leaderOfAFullDiskCutsItsLogAndExaminesTheDiskAgain() {
		start(List.of("a"));
		for (int number = 1; number <= 5; number++) {
			assertThat(submit("change-" + number, LARGE_CHANGE_BYTES, ACKNOWLEDGED_WITHIN_MS)).isTrue();
		}
		this.disks.get("a").setReservedBytes(SMALL_DISK_BYTES - (8 << 20));
		submit("notices", LARGE_CHANGE_BYTES, 0);
		assertThat(submit("refused", 10, 2 * RETRY_MS)).isFalse();
		this.disks.get("a").setReservedBytes(0);
		assertThat(submit("accepted", 10, ACKNOWLEDGED_WITHIN_MS)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void changesAreAcknowledgedOnceTheLastDiskHasRoom(int seed) {
		SplittableRandom random = new SplittableRandom(seed);
		start(HOSTS);
		int number = 0;
		for (int round = 0; round < 6; round++) {
			String host = (random.nextBoolean() && leader() != null) ? leader() : HOSTS.get(random.nextInt(3));
			this.disks.get(host).setFull(true, random.nextInt(3) == 0);
			long untilMs = nowMs() + 500 + random.nextInt(4_000);
			int killedAt = random.nextInt(6);
			while (nowMs() < untilMs) {
				number++;
				submit("change-" + number, 1 + random.nextInt(LARGE_CHANGE_BYTES / 10), random.nextInt(600));
				if (number % 6 == killedAt) {
					restart(HOSTS.get(random.nextInt(3)));
				}
			}
			this.disks.get(host).setFull(false, false);
		}
		assertThat(submit("last", 10, ACKNOWLEDGED_WITHIN_MS)).as("the last change is acknowledged").isTrue();
		advanceTime(2_000);
		for (LastChanges machine : this.machines.values()) {
			assertThat(machine.names).containsAll(this.acknowledged);
		}
	}

	private void start(List<String> hosts) {
		for (String host : hosts) {
			Path store = this.folder.resolve(host);
			assertThat(store.toFile().mkdirs()).isTrue();
			this.disks.put(host, new LimitedDisk(store, SMALL_DISK_BYTES));
			open(host, hosts);
		}
		advanceTime(3_000);
		assertThat(leader()).isNotNull();
	}

	// As the daemon does, a replica whose store has failed is opened again.
	private void open(String host, List<String> hosts) {
		ReplicaOptions options = new ReplicaOptions("g", host, Path.of("unused"), hosts, Map.of(), TIMING);
		LastChanges machine = new LastChanges();
		ReplicaRuntime replica = new ReplicaRuntime(options, new AgreementTransport(this.network.transport(host)),
				machine, this.time, new MetricRegistry(), ++this.starts, this.disks.get(host)::open,
				new SharedScheduler(this.time));
		this.machines.put(host, machine);
		this.replicas.put(host, replica);
		replica.failure().subscribe((error) -> reopen(host, hosts, replica));
		replica.start().subscribe((done) -> {
		}, (error) -> reopen(host, hosts, replica));
	}

	private void reopen(String host, List<String> hosts, ReplicaRuntime failed) {
		failed.stop().subscribe((done) -> {
		}, (error) -> {
		}, () -> this.time.schedule(() -> open(host, hosts), RETRY_MS, TimeUnit.MILLISECONDS));
	}

	private void restart(String host) {
		ReplicaRuntime replica = this.replicas.get(host);
		if (replica.status().phase() == ReplicaStatus.Phase.RUNNING) {
			reopen(host, HOSTS, replica);
		}
	}

	private String leader() {
		return this.replicas.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().status().role() == Role.LEADER)
			.max(Map.Entry.comparingByValue((a, b) -> Long.compare(a.status().term(), b.status().term())))
			.map(Map.Entry::getKey)
			.orElse(null);
	}

	// Submits at the leader until the change is acknowledged, as operators do, and passes
	// the leadership on when the leader's disk is full, as the daemon does.
	private boolean submit(String name, int sizeBytes, long withinMs) {
		byte[] change = (name + "," + "x".repeat(sizeBytes)).getBytes(StandardCharsets.UTF_8);
		long untilMs = nowMs() + withinMs;
		boolean[] done = new boolean[1];
		while (nowMs() <= untilMs && !done[0]) {
			String host = leader();
			if (host != null) {
				ReplicaRuntime replica = this.replicas.get(host);
				replica.propose(change)
					.subscribe((outcome) -> done[0] = true,
							(error) -> replica.handOver().onErrorComplete().subscribe());
			}
			for (long waited = 0; waited < RETRY_MS && !done[0]; waited += 5) {
				advanceTime(5);
			}
		}
		if (done[0]) {
			this.acknowledged.add(name);
		}
		return done[0];
	}

	private long nowMs() {
		return this.time.now(TimeUnit.MILLISECONDS);
	}

	private void advanceTime(long durationMs) {
		for (long at = 0; at < durationMs; at += 5) {
			this.time.advanceTimeBy(Duration.ofMillis(5));
		}
	}

	/**
	 * Remembers the names of all changes; its snapshot holds them and the last content.
	 */
	private static final class LastChanges implements ReplicatedStateMachine {

		private final List<String> names = new ArrayList<>();

		private byte[] last = {};

		@Override
		public byte[] apply(long index, byte[] command) {
			this.names.add(new String(command, StandardCharsets.UTF_8).split(",")[0]);
			this.last = command;
			return new byte[0];
		}

		@Override
		public byte[] snapshot() {
			return (String.join(";", this.names) + "," + new String(this.last, StandardCharsets.UTF_8))
				.getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public void restore(byte[] snapshot) {
			this.names.clear();
			this.names.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split(",")[0].split(";")));
		}

	}

	/**
	 * The disk thread of one replica, which disposes it.
	 *
	 * @param time the scheduler of all replicas
	 */
	private record SharedScheduler(Scheduler time) implements Scheduler {

		@Override
		public Disposable schedule(Runnable task) {
			return this.time.schedule(task);
		}

		@Override
		public Worker createWorker() {
			return this.time.createWorker();
		}

		@Override
		public void dispose() {
			// The others go on.
		}

	}

}
