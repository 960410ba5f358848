package io.fescuehold.bench.overhead;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Sends the same requests at a fixed rate to a server directly and through a router, in
 * alternating rounds, and prints the latencies and the router's CPU time. Latency counts
 * from the scheduled start of a request to the last byte of its response.
 */
public final class OverheadMain {

	private static final int ROUNDS = 3;

	private static final int OK = 200;

	private static final int MAX_CONNECTIONS = 200;

	private static final int WARM_UP_SECONDS = 5;

	private static final long MAX_LATENCY_NS = TimeUnit.SECONDS.toNanos(10);

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double NS_PER_US = 1_000;

	private static final double MEDIAN = 50;

	private static final double P99 = 99;

	private static final String ROUTER_THREAD_PREFIX = "reactor-http";

	private static final String TIMER_THREAD_PREFIX = "parallel";

	private static final String BODY = "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\","
			+ "\"content\":\"" + "word ".repeat(200) + "\"}]}";

	private final OverheadOptions options;

	private final HttpClient client;

	private final PrintStream out;

	private OverheadMain(OverheadOptions options, LoopResources loops, PrintStream out) {
		this.options = options;
		this.out = out;
		this.client = HttpClient.create(ConnectionProvider.create("load", MAX_CONNECTIONS))
			.runOn(loops)
			.responseTimeout(Duration.ofSeconds(10))
			.headers((headers) -> headers.set("Fescuehold-Team", "t"));
	}

	/**
	 * Runs the benchmark.
	 * @param arguments the options, see {@link OverheadOptions}
	 * @throws CmdLineException if an option is unknown or not a number
	 */
	public static void main(String[] arguments) throws CmdLineException {
		OverheadOptions options = new OverheadOptions();
		new CmdLineParser(options).parseArgument(arguments);
		LoopResources loops = LoopResources.create("load", 2, true);
		try (OverheadFleet fleet = new OverheadFleet(loops, options.tokens())) {
			OverheadMain bench = new OverheadMain(options, loops, System.out);
			bench.compare("stream", HttpMethod.POST, BODY, fleet, "/v1/chat/completions", "/v1/chat/completions");
			bench.compare("service", HttpMethod.GET, "", fleet, "/item", "/services/items/item");
		}
		loops.disposeLater().block();
	}

	private void compare(String name, HttpMethod method, String body, OverheadFleet fleet, String directPath,
			String routedPath) {
		String direct = "http://127.0.0.1:" + fleet.backendPort() + directPath;
		String routed = "http://127.0.0.1:" + fleet.routerPort() + routedPath;
		run(method, direct, body, WARM_UP_SECONDS, new ConcurrentHistogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS));
		run(method, routed, body, WARM_UP_SECONDS, new ConcurrentHistogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS));
		Histogram directNs = new ConcurrentHistogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
		Histogram routedNs = new ConcurrentHistogram(MAX_LATENCY_NS, SIGNIFICANT_DIGITS);
		int failed = 0;
		long cpuNs = 0;
		for (int round = 0; round < ROUNDS; round++) {
			failed += run(method, direct, body, this.options.seconds(), directNs);
			long beforeNs = routerCpuNs();
			failed += run(method, routed, body, this.options.seconds(), routedNs);
			cpuNs += routerCpuNs() - beforeNs;
		}
		print(name, directNs, routedNs, cpuNs / NS_PER_US / Math.max(1, routedNs.getTotalCount()), failed);
	}

	private int run(HttpMethod method, String url, String body, int seconds, Histogram histogram) {
		AtomicInteger failed = new AtomicInteger();
		long intervalNs = TimeUnit.SECONDS.toNanos(1) / this.options.ratePerS();
		long startNs = System.nanoTime();
		int count = this.options.ratePerS() * seconds;
		Flux.interval(Duration.ofNanos(intervalNs))
			.onBackpressureBuffer(count)
			.take(count)
			.flatMap((number) -> send(method, url, body)
				.doOnSuccess((done) -> histogram.recordValue(
						Math.clamp(System.nanoTime() - startNs - (number + 1) * intervalNs, 1, MAX_LATENCY_NS)))
				.onErrorResume((error) -> {
					failed.incrementAndGet();
					return Mono.empty();
				}), MAX_CONNECTIONS)
			.blockLast(Duration.ofSeconds(seconds + 15L));
		return failed.get();
	}

	private Mono<Void> send(HttpMethod method, String url, String body) {
		return this.client.request(method)
			.uri(url)
			.send((request, outbound) -> (body.isEmpty()) ? outbound
					: outbound.sendObject(Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8))))
			.response((head, content) -> (head.status().code() == OK) ? content.then()
					: Mono.error(new IllegalStateException("unexpected status " + head.status())))
			.then();
	}

	private static long routerCpuNs() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long cpuNs = 0;
		for (Thread thread : Thread.getAllStackTraces().keySet()) {
			if (thread.getName().startsWith(ROUTER_THREAD_PREFIX) || thread.getName().startsWith(TIMER_THREAD_PREFIX)) {
				cpuNs += Math.max(0, threads.getThreadCpuTime(thread.threadId()));
			}
		}
		return cpuNs;
	}

	private void print(String name, Histogram direct, Histogram routed, double cpuUs, int failed) {
		this.out.printf(Locale.ROOT, "%s: %d direct and %d routed requests at %d/s, %d failed%n"
				+ "  median %.0f us direct, %.0f us routed, %.0f us added%n"
				+ "  p99 %.0f us direct, %.0f us routed, %.0f us added%n" + "  router CPU %.0f us per request%n", name,
				direct.getTotalCount(), routed.getTotalCount(), this.options.ratePerS(), failed,
				direct.getValueAtPercentile(MEDIAN) / NS_PER_US, routed.getValueAtPercentile(MEDIAN) / NS_PER_US,
				(routed.getValueAtPercentile(MEDIAN) - direct.getValueAtPercentile(MEDIAN)) / NS_PER_US,
				direct.getValueAtPercentile(P99) / NS_PER_US, routed.getValueAtPercentile(P99) / NS_PER_US,
				(routed.getValueAtPercentile(P99) - direct.getValueAtPercentile(P99)) / NS_PER_US, cpuUs);
	}

}
