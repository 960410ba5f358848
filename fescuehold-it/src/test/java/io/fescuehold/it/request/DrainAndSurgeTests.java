package io.fescuehold.it.request;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.fescuehold.client.ChatAnswer;
import io.fescuehold.client.ChatMessage;
import io.fescuehold.client.ChatRequest;
import io.fescuehold.config.PolicySpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.it.harness.Eventually;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against planned changes that cut requests off or come into force late, and
 * against a team whose surge costs other teams their answers.
 */
class DrainAndSurgeTests extends AbstractRequestTests {

	/** From acceptance until no router sends a leaving server new work. */
	private static final Duration LEAVING_LIMIT = Duration.ofSeconds(3);

	private static final Duration ANSWER_LIMIT = Duration.ofSeconds(20);

	/** The wait in a queue of a router at most, the default of {@link PolicySpec}. */
	private static final long QUEUE_LIMIT_MS = 2_000;

	private static final int SURGE_REQUESTS = 90;

	private static final int SURGE_TOKENS = 150;

	private static HttpResponse<String> chat(String router, String team, String chat, int tokens) {
		String body = "{\"model\":\"standin\",\"max_tokens\":" + tokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + chat + "\"}]}";
		return fleet.send("POST", "http://" + fleet.callerAddress(router) + "/v1/chat/completions", body,
				"Fescuehold-Team", team, "Fescuehold-Chat", chat, "Content-Type", "application/json");
	}

	/** Guards against new work for a leaving server and against cuts of its requests. */
	@Test
	void leavingServerGetsNoNewWorkAndFinishesItsRequests() {
		StreamRun inFlight = StreamRun.start(this.client, "leaving").awaitPieces(10);
		String leaving = fleet.busyModelServer();
		fleet.state(leaving, ServerState.LEAVING);
		fleet.awaitInForce(LEAVING_LIMIT);
		assertThat(inFlight.await(ANSWER_LIMIT).complete()).as(inFlight.describe()).isTrue();
		Eventually.isTrue("The leaving server is idle", ANSWER_LIMIT, () -> !fleet.runs(leaving));
		for (String router : RequestFleet.ROUTERS) {
			for (String id : List.of("leaving", router + "-1", router + "-2", router + "-3")) {
				var answer = CompletableFuture.supplyAsync(() -> chat(router, RequestFleet.TEAM, id, 20));
				while (!answer.isDone()) {
					assertThat(fleet.runs(leaving)).as("work of %s for %s at %s", id, leaving, router).isFalse();
				}
				assertThat(answer.join().statusCode()).as(answer.join().body()).isEqualTo(200);
			}
		}
		fleet.state(leaving, ServerState.ACTIVE);
	}

	/**
	 * Guards against a planned stop that cuts requests or outruns its entry responses.
	 */
	@Test
	void drainCutsNoRequestAndOutlastsItsEntryResponses() throws InterruptedException {
		String draining = fleet.routerOf("drained");
		String other = RequestFleet.ROUTERS.stream().filter((id) -> !id.equals(draining)).findFirst().orElseThrow();
		CompletableFuture<ChatAnswer> inFlight = this.client
			.chatAnswer(ChatRequest.of(RequestFleet.MODEL, "drained", ChatMessage.user("drained")).withMaxTokens(250))
			.toFuture();
		Eventually.isTrue("The answer is under way", ANSWER_LIMIT,
				() -> RequestFleet.MODEL_SERVERS.stream().anyMatch(fleet::runs));
		CompletableFuture<Integer> stopped = CompletableFuture.supplyAsync(() -> fleet.stop(draining, ANSWER_LIMIT));
		long stoppedAtNanos = System.nanoTime();
		long validUntilNanos = stoppedAtNanos;
		int named = 0;
		int asked = 0;
		while (fleet.process(draining).isAlive()) {
			long askedAtNanos = System.nanoTime();
			JsonNode entry = RequestFleet.json(fleet.send("GET",
					"http://" + fleet.callerAddress(other) + "/fescuehold/v1/entry?chat=drained", null));
			if (entry.path("addresses").toString().contains(fleet.callerAddress(draining))) {
				validUntilNanos = askedAtNanos + TimeUnit.MILLISECONDS.toNanos(entry.path("validForMs").asLong());
				named++;
			}
			if (System.nanoTime() < validUntilNanos) {
				HttpResponse<String> answer = chat(draining, RequestFleet.TEAM, "during-" + asked, 1);
				assertThat(answer.statusCode())
					.as("%s %d ms after the signal, named %d times, %d ms after the entry", answer.body(),
							(System.nanoTime() - stoppedAtNanos) / 1_000_000, named,
							(System.nanoTime() - askedAtNanos) / 1_000_000)
					.isEqualTo(200);
				asked++;
			}
		}
		assertThat(System.nanoTime()).as("end of the process").isGreaterThan(validUntilNanos);
		assertThat(named).as("entry responses that name the draining router").isPositive();
		assertThat(asked).isPositive();
		assertThat(inFlight.join().tokens()).isEqualTo(250);
		assertThat(inFlight.join().recoveries()).as("recoveries of the answer in flight").isZero();
	}

	/** Guards against a surge that takes other teams' share or waits to be refused. */
	@Test
	void surgeOfOneTeamLeavesOthersTheirAnswers() {
		fleet.submit((old) -> new PolicySpec(old.loadBound(), 300L, 3, null, null, old.entryAnswerMs(), null, null,
				null, null));
		fleet.awaitReady();
		List<CompletableFuture<Timed>> surge = new ArrayList<>();
		for (int i = 0; i < SURGE_REQUESTS; i++) {
			String router = RequestFleet.ROUTERS.get(i % RequestFleet.ROUTERS.size());
			String id = "surge-" + i;
			surge
				.add(CompletableFuture.supplyAsync(() -> timed(router, id), (task) -> Thread.startVirtualThread(task)));
		}
		Eventually.isTrue("The surge is refused in part", ANSWER_LIMIT,
				() -> surge.stream().anyMatch((one) -> one.isDone() && one.join().answer().statusCode() != 200));
		for (int i = 0; i < 3; i++) {
			StreamRun run = StreamRun.start(this.client, "quiet-" + i).await(ANSWER_LIMIT);
			assertThat(run.complete()).as(run.describe()).isTrue();
		}
		List<Timed> refused = surge.stream()
			.map(CompletableFuture::join)
			.filter((one) -> one.answer().statusCode() != 200)
			.toList();
		assertThat(refused).isNotEmpty().allSatisfy((one) -> {
			assertThat(one.answer().statusCode()).as(one.answer().body()).isIn(429, 503);
			assertThat(RequestFleet.json(one.answer()).path("run").asText()).isEqualTo("no");
			assertThat(one.answer().headers().firstValue("Retry-After")).isPresent();
			assertThat(one.ms()).as("time until the refusal").isLessThan(QUEUE_LIMIT_MS + 1_000);
		});
		System.out.println("refused " + refused.size() + " of " + SURGE_REQUESTS + ", slowest "
				+ refused.stream().mapToLong(Timed::ms).max().orElse(0) + " ms");
		fleet.submit((old) -> PolicySpec.DEFAULT.withEntryAnswerMs(1_000).withLoadBound(2));
	}

	private static Timed timed(String router, String id) {
		long startNanos = System.nanoTime();
		HttpResponse<String> answer = chat(router, RequestFleet.SURGE_TEAM, id, SURGE_TOKENS);
		return new Timed(answer, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
	}

	/**
	 * An answer and the time that it took.
	 *
	 * @param answer the answer
	 * @param ms the time in milliseconds
	 */
	private record Timed(HttpResponse<String> answer, long ms) {
	}

}
