package io.fescuehold.bench.agreement;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.bench.CommandArguments;
import io.fescuehold.core.agreement.AgreementTiming;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.port.ReplicatedStateMachine;
import io.fescuehold.runtime.replica.AgreementTransport;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import io.fescuehold.runtime.replica.ReplicaOptions;
import io.fescuehold.runtime.replica.ReplicaRuntime;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.kohsuke.args4j.Option;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Measures the throughput and latency of proposals to replicas in one process, each with
 * its own folder on disk. The load is a closed loop with a fixed number of proposals.
 */
public final class AgreementBench {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final int SEED = 1;

	@Option(name = "--folder", required = true, usage = "an empty folder on the disk to measure")
	private Path folder;

	@Option(name = "--replicas", usage = "the number of replicas")
	private int replicas = 3;

	@Option(name = "--concurrency", usage = "the number of proposals in flight")
	private int concurrency = 64;

	@Option(name = "--proposals", usage = "the number of proposals measured")
	private int proposals = 20_000;

	@Option(name = "--bytes", usage = "the size of a command in bytes")
	private int bytes = 200;

	private AgreementBench() {
	}

	/**
	 * Runs the benchmark and prints the result in one line.
	 * @param args the options
	 */
	public static void main(String[] args) {
		AgreementBench bench = new AgreementBench();
		CommandArguments.parse(bench, args);
		bench.run();
		System.exit(0);
	}

	private void run() {
		LocalTransports transports = new LocalTransports();
		MetricRegistry metrics = new MetricRegistry();
		List<String> hosts = IntStream.range(0, this.replicas).mapToObj((i) -> "h" + i).toList();
		List<ReplicaRuntime> group = new ArrayList<>();
		for (String hostId : hosts) {
			Scheduler scheduler = new MonotonicScheduler(Schedulers.newSingle("loop-" + hostId, true));
			ReplicaOptions options = new ReplicaOptions("bench", hostId, this.folder.resolve(hostId), hosts, Map.of(),
					new AgreementTiming(100, 1_000, 800, 10_000));
			MetricRegistry registry = hostId.equals(hosts.getFirst()) ? metrics : new MetricRegistry();
			ReplicaRuntime replica = new ReplicaRuntime(options, new AgreementTransport(transports.create(hostId)),
					new NoOpStateMachine(), scheduler, registry, SEED + hostId.hashCode());
			group.add(replica);
			replica.start().block(TIMEOUT);
		}
		ReplicaRuntime leader = awaitLeader(group);
		propose(leader, this.proposals / 2, new SynchronizedHistogram(TimeUnit.SECONDS.toNanos(60), 3));
		Histogram latency = new SynchronizedHistogram(TimeUnit.SECONDS.toNanos(60), 3);
		long syncsBefore = syncCount(metrics);
		long startNs = System.nanoTime();
		propose(leader, this.proposals, latency);
		double seconds = (System.nanoTime() - startNs) / (double) TimeUnit.SECONDS.toNanos(1);
		System.out.printf(
				"replicas %d concurrency %d bytes %d: %.0f proposals/s, p50 %.2f ms, p99 %.2f ms,"
						+ " max %.2f ms, %.1f proposals per sync%n",
				this.replicas, this.concurrency, this.bytes, this.proposals / seconds,
				toMs(latency.getValueAtPercentile(50)), toMs(latency.getValueAtPercentile(99)),
				toMs(latency.getMaxValue()), this.proposals / (double) Math.max(1, syncCount(metrics) - syncsBefore));
		group.forEach((replica) -> replica.stop().block(TIMEOUT));
	}

	private void propose(ReplicaRuntime leader, int count, Histogram latency) {
		byte[] command = new byte[this.bytes];
		Flux.range(0, count).flatMap((i) -> Mono.defer(() -> {
			long startNs = System.nanoTime();
			return leader.propose(command).doOnSuccess((result) -> latency.recordValue(System.nanoTime() - startNs));
		}), this.concurrency).blockLast(Duration.ofMinutes(2));
	}

	private static long syncCount(MetricRegistry metrics) {
		return metrics.getTimers((name, metric) -> name.endsWith(".disk.sync"))
			.values()
			.stream()
			.mapToLong((timer) -> timer.getCount())
			.sum();
	}

	private static ReplicaRuntime awaitLeader(List<ReplicaRuntime> group) {
		return Flux.interval(Duration.ofMillis(10))
			.concatMapIterable((tick) -> group)
			.filter((replica) -> replica.status().role() == Role.LEADER)
			.blockFirst(TIMEOUT);
	}

	private static double toMs(long ns) {
		return ns / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

	/**
	 * A state machine without state.
	 */
	private static final class NoOpStateMachine implements ReplicatedStateMachine {

		@Override
		public byte[] apply(long index, byte[] command) {
			return new byte[0];
		}

		@Override
		public byte[] snapshot() {
			return new byte[0];
		}

		@Override
		public void restore(byte[] snapshot) {
			// There is no state to restore.
		}

	}

}
