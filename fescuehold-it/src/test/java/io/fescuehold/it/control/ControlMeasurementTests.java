package io.fescuehold.it.control;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;

import io.fescuehold.it.harness.Eventually;
import io.fescuehold.it.harness.FleetSettings;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Prints the figures of docs/measurements/control.md, measured with three replicas and
 * four further routers on the loopback address, without proxies. Asserts only the limits
 * of the design page.
 */
@Tag("measure")
class ControlMeasurementTests {

	private static final int COMMITS = 500;

	private static final int CHANGES_PER_DAY = 410;

	private static final int IN_FORCE_RUNS = 50;

	private static final int FAILOVERS = 5;

	private static final long TRAFFIC_MS = 30_000;

	private static final long MAX_IDLE_BYTES_PER_S = 5_000;

	private static final long POLL_NANOS = 2_000_000;

	private static final double NANOS_PER_MS = 1_000_000;

	private static final double MS_PER_S = 1_000;

	@TempDir
	private Path folder;

	private long number;

	private ControlFleet fleet(int snapshotEveryEntries) {
		FleetSettings settings = new FleetSettings(this.folder, false).timing("snapshotEveryEntries",
				snapshotEveryEntries);
		ControlFleet fleet = ControlFleet.north(this.folder, settings, 4);
		submitAndAssertAccepted(fleet, fleet.leader("north"));
		return fleet;
	}

	private void submitAndAssertAccepted(ControlFleet fleet, String hostId) {
		Reply reply = fleet.submit(hostId, "north", ControlFleet.createConfig("north", ++this.number, "ada")).join();
		assertThat(reply.isAccepted()).as("reply %s", reply).isTrue();
	}

	private static double msSince(long startNanos) {
		return (System.nanoTime() - startNanos) / NANOS_PER_MS;
	}

	private static String summary(double[] values) {
		Arrays.sort(values);
		return "median %.1f, p99 %.1f, worst %.1f".formatted(values[values.length / 2],
				values[(int) (values.length * 0.99)], values[values.length - 1]);
	}

	private static void print(String quantity, String value) {
		System.out.printf("| %s | %s |%n", quantity, value);
	}

	/** Guards against changes that take too long to be in force at every router. */
	@Test
	void commitsAndTimeUntilInForce() throws InterruptedException {
		try (ControlFleet fleet = fleet(2_000)) {
			String leader = fleet.leader("north");
			double[] latencies = new double[COMMITS];
			long startNanos = System.nanoTime();
			for (int i = 0; i < COMMITS; i++) {
				long commitNanos = System.nanoTime();
				submitAndAssertAccepted(fleet, leader);
				latencies[i] = msSince(commitNanos);
			}
			print("commits/s, one operator, sequential", "%.0f".formatted(COMMITS * MS_PER_S / msSince(startNanos)));
			print("commit latency (ms)", summary(latencies));
			double[] inForce = new double[IN_FORCE_RUNS];
			for (int i = 0; i < IN_FORCE_RUNS; i++) {
				long submittedNanos = System.nanoTime();
				submitAndAssertAccepted(fleet, fleet.hostIds().get(i % fleet.hostIds().size()));
				awaitInForceEverywhere(fleet);
				inForce[i] = msSince(submittedNanos);
			}
			print("submit to in force at all 7 routers (ms), 50 changes", summary(inForce));
			assertThat(inForce[IN_FORCE_RUNS - 1]).isLessThan(ControlFleet.IN_FORCE_TIMEOUT.toMillis());
		}
	}

	private void awaitInForceEverywhere(ControlFleet fleet) throws InterruptedException {
		List<Thread> threads = fleet.hostIds()
			.stream()
			.map((hostId) -> Thread.ofVirtual().start(() -> awaitNumber(fleet, hostId)))
			.toList();
		for (Thread thread : threads) {
			thread.join();
		}
	}

	private void awaitNumber(ControlFleet fleet, String hostId) {
		long endNanos = System.nanoTime() + ControlFleet.IN_FORCE_TIMEOUT.toNanos();
		while (!isInForce(fleet, hostId) && System.nanoTime() < endNanos) {
			LockSupport.parkNanos(POLL_NANOS);
		}
	}

	private boolean isInForce(ControlFleet fleet, String hostId) {
		try {
			return fleet.readInForce(hostId, "north").number() >= this.number;
		}
		catch (CompletionException ex) {
			// The router did not respond within a second.
			return false;
		}
	}

	/** Guards against a failover that takes too long. */
	@Test
	void failover() {
		try (ControlFleet fleet = fleet(2_000)) {
			double[] times = new double[FAILOVERS];
			for (int i = 0; i < FAILOVERS; i++) {
				String leader = fleet.leader("north");
				long killedNanos = System.nanoTime();
				fleet.kill(leader);
				fleet.submitUntilAccepted(fleet.otherHosts(leader),
						ControlFleet.createConfig("north", ++this.number, "ada"));
				times[i] = msSince(killedNanos);
				fleet.start(leader);
				fleet.awaitInForce(fleet.hostIds(), "north", this.number);
			}
			print("kill of the leader to the next accepted change (ms), 5 kills", summary(times));
			assertThat(times[FAILOVERS - 1]).isLessThan(ControlFleet.IN_FORCE_TIMEOUT.toMillis());
		}
	}

	/**
	 * Guards against a replica that does not catch up. A leader keeps the last 1,000
	 * entries, so that only more changes make it send a snapshot.
	 * @param snapshotEveryEntries the number of log entries between snapshots
	 * @param changes the number of changes that the replica misses
	 */
	@ParameterizedTest
	@CsvSource({ "2000, 500", "100, 500", "100, 1200" })
	void catchUp(int snapshotEveryEntries, int changes) {
		try (ControlFleet fleet = fleet(snapshotEveryEntries)) {
			String leader = fleet.leader("north");
			String follower = leader.equals("a") ? "b" : "a";
			fleet.kill(follower);
			for (int i = 0; i < changes; i++) {
				submitAndAssertAccepted(fleet, leader);
			}
			long startNanos = System.nanoTime();
			fleet.start(follower);
			double readyMs = msSince(startNanos);
			Eventually.isTrue("the replica has applied all changes", ControlFleet.IN_FORCE_TIMEOUT,
					() -> fleet.get(follower, "dump").body().at("/control/north/number").asLong() == this.number);
			long compacted = fleet.get(leader, "dump").body().at("/agreement-north/compactedIndex").asLong();
			print("restarted replica after " + changes + " changes, leader compacted to index " + compacted,
					"ready %.0f ms after the start of the process, all applied after %.0f ms".formatted(readyMs,
							msSince(startNanos)));
		}
	}

	/** Guards against an idle fleet that sends too much control traffic. */
	@Test
	void traffic() throws InterruptedException {
		try (ControlFleet fleet = fleet(2_000)) {
			String leader = fleet.leader("north");
			Map<String, Long> start = bytes(fleet);
			Thread.sleep(TRAFFIC_MS);
			Map<String, Long> idle = bytes(fleet);
			long startNanos = System.nanoTime();
			for (int i = 0; i < CHANGES_PER_DAY; i++) {
				submitAndAssertAccepted(fleet, leader);
				long dueMs = (i + 1) * TRAFFIC_MS / CHANGES_PER_DAY;
				Thread.sleep(Math.max(0, dueMs - (long) msSince(startNanos)));
			}
			fleet.awaitInForce(fleet.hostIds(), "north", this.number);
			double changesMs = msSince(startNanos);
			Map<String, Long> end = bytes(fleet);
			Map<String, Double> idleRates = new HashMap<>();
			fleet.hostIds().forEach((hostId) -> {
				for (String direction : List.of("sent", "received")) {
					String key = hostId + " " + direction;
					double idleRate = (idle.get(key) - start.get(key)) * MS_PER_S / TRAFFIC_MS;
					double busyRate = (end.get(key) - idle.get(key)) * MS_PER_S / changesMs;
					print("bytes/s " + key + (hostId.equals(leader) ? " (leader)" : ""),
							"idle %.0f, with 410 changes in %.0f s %.0f".formatted(idleRate, changesMs / MS_PER_S,
									busyRate));
					idleRates.merge(hostId, idleRate, Double::sum);
				}
			});
			idleRates.values().removeIf((rate) -> rate <= MAX_IDLE_BYTES_PER_S);
			assertThat(idleRates).as("idle daemons above 5 KB/s, sent and received").isEmpty();
		}
	}

	private static Map<String, Long> bytes(ControlFleet fleet) {
		Map<String, Long> bytes = new HashMap<>();
		fleet.hostIds().forEach((hostId) -> fleet.get(hostId, "metrics").body().properties().forEach((metric) -> {
			if (metric.getKey().matches("transport\\.(sent|received)\\..*\\.bytes")) {
				String direction = metric.getKey().split("\\.")[1];
				bytes.merge(hostId + " " + direction, metric.getValue().asLong(), Long::sum);
			}
		}));
		return bytes;
	}

}
