package io.fescuehold.runtime.control;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.sun.management.OperatingSystemMXBean;
import io.fescuehold.runtime.transport.PeerAddress;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import io.fescuehold.runtime.transport.TransportOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against idle traffic that exceeds its limit and against configurations that are
 * distributed slowly over TCP. Daemon 0 is the root; each other daemon prefers its parent
 * in a tree of fan-out 8 and then the daemons after it.
 */
class FeedTrafficTests {

	private static final int DAEMON_COUNT = 17;

	private static final int FAN_OUT = 8;

	private static final int MAX_SOURCES = 4;

	private static final int IDLE_MS = 6_000;

	private final List<TcpPeerTransport> transports = new ArrayList<>();

	private final List<MetricRegistry> metrics = new ArrayList<>();

	private final List<ConfigFeed> feeds = new ArrayList<>();

	@AfterEach
	void close() {
		this.feeds.forEach(ConfigFeed::stop);
		this.transports.forEach(TcpPeerTransport::close);
	}

	@Test
	void idleTrafficStaysBelowOneKilobytePerSecondAndUpdateArrivesWithinTwoSeconds() throws Exception {
		for (int i = 0; i < DAEMON_COUNT; i++) {
			start(i);
		}
		for (int i = 0; i < DAEMON_COUNT; i++) {
			for (int j = 0; j < DAEMON_COUNT; j++) {
				this.transports.get(i).setPeer("h" + j, new PeerAddress("127.0.0.1", this.transports.get(j).port()));
			}
		}
		this.feeds.forEach(ConfigFeed::start);
		this.feeds.getFirst().offer(Configs.servers("tarawera", 1, 12));
		this.feeds.getFirst().offer(Configs.servers("fiji", 1, 6));
		Thread.sleep(3_000);
		OperatingSystemMXBean process = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		long cpuStartNanos = process.getProcessCpuTime();
		List<Map<String, Long>> before = counters();
		Thread.sleep(IDLE_MS);
		double cpuPercent = (process.getProcessCpuTime() - cpuStartNanos) / (IDLE_MS * 10_000.0) / DAEMON_COUNT;
		List<Map<String, Long>> after = counters();
		List<Long> bytesPerS = new ArrayList<>();
		for (int i = 0; i < DAEMON_COUNT; i++) {
			bytesPerS.add((totalBytes(after.get(i)) - totalBytes(before.get(i))) * 1_000 / IDLE_MS);
		}
		long updateDelayMs = measureUpdateDelayMs();
		double meanBytesPerS = bytesPerS.stream().mapToLong(Long::longValue).average().orElseThrow();
		System.out.printf(
				"idle bytes/s sent and received: mean %.0f, root %d, max %d; CPU per daemon %.2f %% of a core;"
						+ " update of %d daemons: %d ms%n",
				meanBytesPerS, bytesPerS.getFirst(), bytesPerS.stream().max(Long::compare).orElseThrow(), cpuPercent,
				DAEMON_COUNT, updateDelayMs);
		assertThat(meanBytesPerS).isLessThan(1_000);
		assertThat(updateDelayMs).isLessThan(2_000);
	}

	private long measureUpdateDelayMs() throws InterruptedException {
		long startNanos = System.nanoTime();
		this.feeds.getFirst().offer(Configs.servers("tarawera", 2, 13));
		for (ConfigFeed feed : this.feeds) {
			while (feed.current().number("tarawera") < 2 && System.nanoTime() - startNanos < 10_000_000_000L) {
				Thread.sleep(1);
			}
		}
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
	}

	private List<Map<String, Long>> counters() {
		return this.metrics.stream().map((registry) -> {
			Map<String, Long> countsByName = new TreeMap<>();
			registry.getCounters().forEach((name, counter) -> countsByName.put(name, counter.getCount()));
			return countsByName;
		}).toList();
	}

	private static long totalBytes(Map<String, Long> countsByName) {
		return countsByName.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith(".bytes"))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

	private void start(int i) {
		MetricRegistry registry = new MetricRegistry();
		TcpPeerTransport transport = new TcpPeerTransport(
				new TransportOptions("h" + i, new PeerAddress("127.0.0.1", 0), Map.of()), registry,
				Schedulers.parallel());
		transport.start().block(Duration.ofSeconds(5));
		this.metrics.add(registry);
		this.transports.add(transport);
		this.feeds
			.add(new ConfigFeed("h" + i, transport, candidates(i), null, Schedulers.parallel(), FeedOptions.DEFAULT));
	}

	private static UpstreamCandidates candidates(int index) {
		List<String> hosts = new ArrayList<>();
		int parent = (index - 1) / FAN_OUT;
		for (int i = 0; index > 0 && i < Math.min(MAX_SOURCES, index); i++) {
			hosts.add("h" + (parent + i) % index);
		}
		return new FixedCandidates(hosts, List.of("h0"));
	}

}
