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
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against planned changes that abort requests or take effect late, and against a
 * surge of one team that makes requests of other teams fail.
 */
class DrainAndSurgeTests extends AbstractRequestTests {

	/**
	 * The time from acceptance until no router sends new requests to a leaving server.
	 */
	private static final Duration LEAVING_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

	/** The longest wait in the queue of a router, the default of {@link PolicySpec}. */
	private static final long QUEUE_LIMIT_MS = 2_000;

	private static final int SURGE_REQUESTS = 90;

	private static final int SURGE_TOKENS = 150;

	private static HttpResponse<String> sendChat(String router, String team, String chat, int tokens) {
		String body = "{\"model\":\"standin\",\"max_tokens\":" + tokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"" + chat + "\"}]}";
		return fleet.send("POST", "http://" + fleet.callerAddress(router) + "/v1/chat/completions", body,
				"Fescuehold-Team", team, "Fescuehold-Chat", chat, "Content-Type", "application/json");
	}

	/** Guards against new requests to a leaving server and aborts of its running ones. */
	@Test
	void leavingServerGetsNoNewWorkAndFinishesItsRequests() {
		StreamRun inFlight = StreamRun.start(this.client, "leaving").awaitChunks(10);
		String leaving = fleet.busyModelServer();
		fleet.submitServerState(leaving, ServerState.LEAVING);
		fleet.awaitInForce(LEAVING_TIMEOUT);
		assertThat(inFlight.await(RESPONSE_TIMEOUT).complete()).as(inFlight.describe()).isTrue();
		Eventually.isTrue("The leaving server is idle", RESPONSE_TIMEOUT, () -> !fleet.hasRequests(leaving));
		for (String router : RequestFleet.ROUTERS) {
			for (String id : List.of("leaving", router + "-1", router + "-2", router + "-3")) {
				var response = CompletableFuture.supplyAsync(() -> sendChat(router, RequestFleet.TEAM, id, 20));
				while (!response.isDone()) {
					assertThat(fleet.hasRequests(leaving))
						.as("request %s at leaving server %s through %s", id, leaving, router)
						.isFalse();
				}
				assertThat(response.join().statusCode()).as(response.join().body()).isEqualTo(200);
			}
		}
		fleet.submitServerState(leaving, ServerState.ACTIVE);
	}

	/**
	 * Guards against a planned stop that aborts requests, or that ends while an entry
	 * response that names the router is still valid.
	 */
	@Test
	void drainCutsNoRequestAndOutlastsItsEntryResponses() throws InterruptedException {
		String draining = fleet.routerOf("drained");
		String other = RequestFleet.ROUTERS.stream().filter((id) -> !id.equals(draining)).findFirst().orElseThrow();
		CompletableFuture<ChatAnswer> inFlight = this.client
			.chatAnswer(ChatRequest.of(RequestFleet.MODEL, "drained", ChatMessage.user("drained")).withMaxTokens(250))
			.toFuture();
		Eventually.isTrue("A model server runs the request", RESPONSE_TIMEOUT,
				() -> RequestFleet.MODEL_SERVERS.stream().anyMatch(fleet::hasRequests));
		CompletableFuture<Integer> stopped = CompletableFuture
			.supplyAsync(() -> fleet.stop(draining, RESPONSE_TIMEOUT));
		long stopRequestedAtNanos = System.nanoTime();
		long validUntilNanos = stopRequestedAtNanos;
		int namedCount = 0;
		int requestCount = 0;
		while (fleet.process(draining).isAlive()) {
			long entryRequestedAtNanos = System.nanoTime();
			JsonNode entry = RequestFleet.json(fleet.send("GET",
					"http://" + fleet.callerAddress(other) + "/fescuehold/v1/entry?chat=drained", null));
			if (entry.path("addresses").toString().contains(fleet.callerAddress(draining))) {
				validUntilNanos = entryRequestedAtNanos
						+ TimeUnit.MILLISECONDS.toNanos(entry.path("validForMs").asLong());
				namedCount++;
			}
			if (System.nanoTime() < validUntilNanos) {
				HttpResponse<String> response = sendChat(draining, RequestFleet.TEAM, "during-" + requestCount, 1);
				assertThat(response.statusCode())
					.as("%s %d ms after the stop signal, named in %d entry responses, %d ms after the entry request",
							response.body(), (System.nanoTime() - stopRequestedAtNanos) / 1_000_000, namedCount,
							(System.nanoTime() - entryRequestedAtNanos) / 1_000_000)
					.isEqualTo(200);
				requestCount++;
			}
		}
		assertThat(System.nanoTime()).as("end of the process").isGreaterThan(validUntilNanos);
		assertThat(namedCount).as("entry responses that name the draining router").isPositive();
		assertThat(requestCount).isPositive();
		assertThat(inFlight.join().tokens()).isEqualTo(250);
		assertThat(inFlight.join().recoveries()).as("recoveries of the response in flight").isZero();
	}

	/** Guards against a surge that takes other teams' share or is rejected too late. */
	@Tag("known-red")
	@Test
	void surgeOfOneTeamLeavesOthersTheirAnswers() {
		fleet.submit((old) -> new PolicySpec(old.loadBound(), 300L, 3, null, null, old.entryAnswerMs(), null, null,
				null, null));
		fleet.awaitReady();
		List<CompletableFuture<TimedResponse>> surge = new ArrayList<>();
		for (int i = 0; i < SURGE_REQUESTS; i++) {
			String router = RequestFleet.ROUTERS.get(i % RequestFleet.ROUTERS.size());
			String id = "surge-" + i;
			surge.add(CompletableFuture.supplyAsync(() -> timedChat(router, id),
					(task) -> Thread.startVirtualThread(task)));
		}
		Eventually.isTrue("Some requests of the surge are rejected", RESPONSE_TIMEOUT,
				() -> surge.stream().anyMatch((one) -> one.isDone() && one.join().response().statusCode() != 200));
		for (int i = 0; i < 3; i++) {
			StreamRun run = StreamRun.start(this.client, "quiet-" + i).await(RESPONSE_TIMEOUT);
			assertThat(run.complete()).as(run.describe()).isTrue();
		}
		List<TimedResponse> rejected = surge.stream()
			.map(CompletableFuture::join)
			.filter((one) -> one.response().statusCode() != 200)
			.toList();
		assertThat(rejected).isNotEmpty().allSatisfy((one) -> {
			assertThat(one.response().statusCode()).as(one.response().body()).isIn(429, 503);
			assertThat(RequestFleet.json(one.response()).path("run").asText()).isEqualTo("no");
			assertThat(one.response().headers().firstValue("Retry-After")).isPresent();
			assertThat(one.latencyMs()).as("time until the rejection in ms").isLessThan(QUEUE_LIMIT_MS + 1_000);
		});
		System.out.println("refused " + rejected.size() + " of " + SURGE_REQUESTS + ", slowest "
				+ rejected.stream().mapToLong(TimedResponse::latencyMs).max().orElse(0) + " ms");
		fleet.submit((old) -> PolicySpec.DEFAULT.withEntryAnswerMs(1_000).withLoadBound(2));
	}

	private static TimedResponse timedChat(String router, String id) {
		long startNanos = System.nanoTime();
		HttpResponse<String> response = sendChat(router, RequestFleet.SURGE_TEAM, id, SURGE_TOKENS);
		return new TimedResponse(response, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
	}

	/**
	 * A response and its latency.
	 *
	 * @param response the response
	 * @param latencyMs the latency in milliseconds
	 */
	private record TimedResponse(HttpResponse<String> response, long latencyMs) {
	}

}
