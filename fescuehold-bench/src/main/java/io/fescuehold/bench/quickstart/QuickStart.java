package io.fescuehold.bench.quickstart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.client.ChatAnswer;
import io.fescuehold.client.ChatMessage;
import io.fescuehold.client.ChatRequest;
import io.fescuehold.client.FescueholdClient;
import io.fescuehold.client.FescueholdClientBuilder;
import io.fescuehold.client.FescueholdClientException;
import io.fescuehold.client.ServiceRequest;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Submits the first configuration, sends chats of several turns and non-idempotent calls
 * through the fleet, and prints a summary.
 */
final class QuickStart {

	private static final long START_TIMEOUT_MS = 60_000;

	private static final int CHATS = 30;

	private static final int TURNS = 4;

	private static final int MAX_TOKENS = 40;

	private static final int CONCURRENCY = 10;

	private static final int CALLS = 30;

	private static final int KILL_AFTER_ANSWERS = 20;

	private static final String CALL_UNKNOWN = "CALL_UNKNOWN";

	private static final Duration RUN_TIMEOUT = Duration.ofMinutes(2);

	private final Path folder;

	private final Deployment deployment;

	private final long killPid;

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicInteger unknown = new AtomicInteger();

	private final AtomicInteger recoveries = new AtomicInteger();

	private long promptTokens;

	private long cachedTokens;

	/**
	 * Creates a run.
	 * @param folder the folder of the fleet's files
	 * @param deployment the deployment
	 * @param killPid the process id of a router to kill, or 0
	 */
	QuickStart(Path folder, Deployment deployment, long killPid) {
		this.folder = folder;
		this.deployment = deployment;
		this.killPid = killPid;
	}

	/**
	 * Runs the quick start.
	 * @return the exit code: 0 if no request failed and no call ran more than once
	 * @throws IOException if the execution logs cannot be read
	 */
	int run() throws IOException {
		FleetControl control = new FleetControl(this.folder);
		control.awaitRouters(START_TIMEOUT_MS);
		long submittedAtNs = System.nanoTime();
		control.submit(START_TIMEOUT_MS);
		control.awaitInForce(this.deployment.config(), START_TIMEOUT_MS);
		print("Configuration %s number %d accepted and in force at %d routers after %d ms",
				this.deployment.config().share(), this.deployment.config().number(), FleetFiles.HOSTS,
				elapsedMs(submittedAtNs));
		long startedAtNs = System.nanoTime();
		Mono.when(chats(), calls()).block(RUN_TIMEOUT);
		print("Chats: %d answers of %d, %d recovered after a failure, %.0f %% of prompt tokens from cache",
				this.answered.get(), CHATS * TURNS, this.recoveries.get(),
				100.0 * this.cachedTokens / Math.max(1, this.promptTokens));
		int repeated = printExecutions();
		print("Finished in %d ms, %d requests failed, %d calls answered as unknown", elapsedMs(startedAtNs),
				this.failed.get(), this.unknown.get());
		return (this.failed.get() == 0 && repeated == 0) ? 0 : 1;
	}

	private Mono<Void> chats() {
		return Flux.range(0, CHATS).flatMap(this::chat, CONCURRENCY).then();
	}

	private Mono<Void> chat(int index) {
		FescueholdClient client = client(index);
		List<ChatMessage> history = new ArrayList<>();
		return Flux.range(0, TURNS)
			.concatMap((turn) -> turn(client, "chat-" + index, history, turn))
			.then(Mono.fromRunnable(client::close));
	}

	private Mono<Void> turn(FescueholdClient client, String chatId, List<ChatMessage> history, int turn) {
		history.add(ChatMessage
			.user("Question " + turn + " of " + chatId + ". " + "The history of this case. ".repeat(20)));
		ChatRequest request = ChatRequest.of(this.deployment.model(), chatId, history.toArray(new ChatMessage[0]))
			.withMaxTokens(MAX_TOKENS);
		return client.chatAnswer(request)
			.doOnNext((answer) -> recordAnswer(history, answer))
			.then()
			.onErrorResume(FescueholdClientException.class, (ex) -> recordFailure(chatId, ex));
	}

	private synchronized void recordAnswer(List<ChatMessage> history, ChatAnswer answer) {
		history.add(ChatMessage.assistant(answer.text()));
		this.recoveries.addAndGet(answer.recoveries());
		this.promptTokens += answer.promptTokens();
		this.cachedTokens += answer.cachedTokens();
		if (this.answered.incrementAndGet() == KILL_AFTER_ANSWERS && this.killPid > 0) {
			ProcessHandle.of(this.killPid).ifPresent(ProcessHandle::destroyForcibly);
			print("Killed the router with process id %d", this.killPid);
		}
	}

	private Mono<Void> calls() {
		return Flux.range(0, CALLS).flatMap(this::call, CONCURRENCY).then();
	}

	// Sends a call twice with the same idempotency key, as a caller does that has lost
	// the
	// response to the first attempt.
	private Mono<Void> call(int index) {
		FescueholdClient client = client(index);
		String key = "quick-start-" + index;
		byte[] body = ("{\"item\":\"item-" + index + "\"}").getBytes(StandardCharsets.UTF_8);
		ServiceRequest request = ServiceRequest.post(this.deployment.service(), this.deployment.nonIdempotentPath(),
				body, key);
		return client.call(request)
			.then(Mono.defer(() -> client.call(request)))
			.then()
			.onErrorResume(FescueholdClientException.class, (ex) -> recordFailure(key, ex))
			.then(Mono.<Void>fromRunnable(client::close).subscribeOn(Schedulers.boundedElastic()));
	}

	private Mono<Void> recordFailure(String requestName, FescueholdClientException ex) {
		if (this.killPid > 0 && CALL_UNKNOWN.equals(ex.code())) {
			// A call that was in flight at the killed router may have run, so it is not
			// run again.
			this.unknown.incrementAndGet();
			return Mono.empty();
		}
		this.failed.incrementAndGet();
		print("Failed: %s: %s", requestName, ex.getMessage());
		return Mono.empty();
	}

	private FescueholdClient client(int index) {
		FescueholdClientBuilder builder = FescueholdClient.builder()
			.team(this.deployment.teams().get(index % this.deployment.teams().size()));
		for (int i = 0; i < FleetFiles.HOSTS; i++) {
			builder.entry(FleetFiles.callerAddress((index + i) % FleetFiles.HOSTS + 1));
		}
		return builder.build();
	}

	private int printExecutions() throws IOException {
		Map<String, Integer> executions = new HashMap<>();
		for (String server : this.deployment.config().services().get(this.deployment.service()).servers().keySet()) {
			for (String line : Files.readAllLines(this.folder.resolve(server + ".executions"))) {
				JsonNode key = new ObjectMapper().readTree(line).path("key");
				if (key.isTextual()) {
					executions.merge(key.asText(), 1, Integer::sum);
				}
			}
		}
		int repeated = (int) executions.values().stream().filter((count) -> count > 1).count();
		print("Calls: %d keys sent twice each, %d executed, %d executed more than once", CALLS, executions.size(),
				repeated);
		return repeated;
	}

	private static long elapsedMs(long sinceNs) {
		return Duration.ofNanos(System.nanoTime() - sinceNs).toMillis();
	}

	private static void print(String format, Object... arguments) {
		System.out.printf(format + "%n", arguments);
	}

}
