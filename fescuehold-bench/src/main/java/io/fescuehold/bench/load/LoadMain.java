package io.fescuehold.bench.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.fescuehold.client.ChatMessage;
import io.fescuehold.client.ChatRequest;
import io.fescuehold.client.FescueholdClient;
import io.fescuehold.client.FescueholdClientBuilder;
import io.fescuehold.client.FescueholdClientException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Sends chat requests with Poisson arrivals at a fixed mean rate, regardless of how long
 * responses take, and prints the latencies. The rate and the duration are limited.
 */
public final class LoadMain {

	private static final int USAGE_ERROR = 2;

	private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(60);

	private static final double NS_PER_S = 1e9;

	private static final int MAX_QUESTION_SENTENCES = 60;

	private final LoadOptions options = new LoadOptions();

	private final LoadResult result = new LoadResult();

	private final Map<String, FescueholdClient> clients = new HashMap<>();

	private LoadMain() {
	}

	/**
	 * Runs the load generator.
	 * @param args the options, see {@link LoadOptions}
	 */
	public static void main(String[] args) {
		LoadMain main = new LoadMain();
		CmdLineParser parser = new CmdLineParser(main.options);
		try {
			parser.parseArgument(args);
			main.options.check();
		}
		catch (CmdLineException | IllegalArgumentException ex) {
			System.err.println(ex.getMessage());
			parser.printUsage(System.err);
			System.exit(USAGE_ERROR);
		}
		main.run();
		System.exit(0);
	}

	private void run() {
		for (String team : this.options.teams()) {
			FescueholdClientBuilder builder = FescueholdClient.builder().team(team);
			this.options.entries().forEach(builder::entry);
			this.clients.put(team, builder.build());
		}
		SplittableRandom random = new SplittableRandom(this.options.seed());
		long startNs = System.nanoTime();
		long endNs = startNs + TimeUnit.SECONDS.toNanos(this.options.seconds());
		Flux.<Long, Long>generate(() -> startNs, (atNs, sink) -> {
			long nextNs = atNs + (long) (-Math.log(1 - random.nextDouble()) * NS_PER_S / this.options.ratePerS());
			if (nextNs >= endNs) {
				sink.complete();
			}
			else {
				sink.next(nextNs);
			}
			return nextNs;
		})
			.concatMap(
					(atNs) -> Mono.delay(Duration.ofNanos(Math.max(0, atNs - System.nanoTime())), Schedulers.parallel())
						.thenReturn(atNs))
			.flatMap((atNs) -> request(atNs, random.nextInt(this.options.chats())), Integer.MAX_VALUE)
			.blockLast(Duration.ofSeconds(this.options.seconds()).plus(DRAIN_TIMEOUT));
		this.result.print(this.options.seconds());
	}

	private Mono<Void> request(long scheduledAtNs, int chat) {
		String team = this.options.teams().get(chat % this.options.teams().size());
		String question = "The history of this case. ".repeat(1 + chat % MAX_QUESTION_SENTENCES);
		ChatRequest request = ChatRequest
			.of(this.options.model(), "load-" + chat, ChatMessage.user("Chat " + chat + ". " + question))
			.withMaxTokens(this.options.maxTokens());
		AtomicLong lastNs = new AtomicLong();
		return this.clients.get(team).chat(request).doOnNext((piece) -> {
			long nowNs = System.nanoTime();
			long previousNs = lastNs.getAndSet(nowNs);
			if (previousNs == 0) {
				this.result.recordFirstPiece(elapsedUs(nowNs - scheduledAtNs));
			}
			else {
				this.result.recordNextPiece(elapsedUs(nowNs - previousNs));
			}
		})
			.then(Mono
				.<Void>fromRunnable(() -> this.result.recordCompletion(elapsedUs(System.nanoTime() - scheduledAtNs))))
			.onErrorResume(FescueholdClientException.class, (ex) -> {
				this.result.recordFailure(ex.code());
				return Mono.empty();
			});
	}

	private static long elapsedUs(long ns) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMicros(ns));
	}

}
