package io.fescuehold.runtime.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.StateCommand;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against non-idempotent calls that run twice and against calls that are reported
 * as not run although they may have run.
 */
class AtMostOnceTests {

	private static final ScriptedServer.Script CREATED = (request, connection) -> connection.answer(201, "{\"o\":1}");

	private static HttpRequest.Builder order(TestRouter router, String key) {
		return router.request("/services/depot/orders?x=1")
			.POST(HttpRequest.BodyPublishers.ofString("{\"part\":7}"))
			.header("Idempotency-Key", key);
	}

	private static ScriptedServer closedServer() {
		ScriptedServer closed = new ScriptedServer(CREATED);
		closed.close();
		return closed;
	}

	@Test
	void responseIsRecordedBeforeItIsSentAndReplayed() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED); TestRouter router = new TestRouter(server)) {
			assertThat(router.send(order(router, "k")).statusCode()).isEqualTo(201);
			assertThat(router.state.history).containsExactly("begin", "CompleteCall");
			HttpResponse<String> again = router.send(order(router, "k"));
			assertThat(again.statusCode()).isEqualTo(201);
			assertThat(again.body()).isEqualTo("{\"o\":1}");
			assertThat(server.received()).hasSize(1);
			assertThat(server.received().getFirst().headers()).containsEntry("Idempotency-Key", "k")
				.containsEntry("Fescuehold-Fencing-Number", "1");
		}
	}

	// Guards against a service's answer that the caller library takes for a refusal of
	// the router, which says that the call has not run.
	@Test
	void answersOfTheServiceAreMarkedAndRefusalsOfTheRouterAreNot() throws Exception {
		String problem = "{\"code\":\"DEPOT_FULL\",\"run\":\"no\"}";
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.send("HTTP/1.1 503 Full\r\nContent-Type: application/problem+json\r\nRetry-After: 1\r\nContent-Length: "
					+ problem.length() + "\r\nFescuehold-Response-Source: router\r\n\r\n" + problem));
				TestRouter router = new TestRouter(server)) {
			for (int attempt = 0; attempt < 2; attempt++) {
				HttpResponse<String> response = router.send(order(router, "k"));
				assertThat(response.statusCode()).isEqualTo(503);
				assertThat(response.body()).isEqualTo(problem);
				assertThat(response.headers().allValues("Fescuehold-Response-Source")).containsExactly("service");
			}
			assertThat(server.received()).hasSize(1);
			HttpResponse<String> refused = router
				.send(router.request("/services/depot/orders").POST(HttpRequest.BodyPublishers.noBody()));
			assertThat(refused.headers().allValues("Fescuehold-Response-Source")).isEmpty();
		}
	}

	@Test
	void missingKeyIsRefused() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router
				.send(router.request("/services/depot/orders").POST(HttpRequest.BodyPublishers.noBody()));
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(response.body()).contains("KEY_MISSING").contains("\"run\":\"no\"");
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void encodedPathDoesNotBypassTheRule() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED); TestRouter router = new TestRouter(server)) {
			for (String path : new String[] { "%6Frders", "x/../orders", "x/%2e%2e/orders", "/orders", "x%2Forders" }) {
				assertThat(
						router.send(router.request("/services/depot/" + path).POST(HttpRequest.BodyPublishers.noBody()))
							.statusCode())
					.as(path)
					.isEqualTo(400);
			}
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void refusedConnectionIsRetriedOnAnotherServerUnderANewGrant() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED);
				TestRouter router = new TestRouter(closedServer(), server, closedServer())) {
			for (int i = 0; i < 5; i++) {
				assertThat(router.send(order(router, "k" + i)).statusCode()).isEqualTo(201);
			}
			assertThat(server.received()).hasSize(5);
			assertThat(router.state.records.values()).allMatch(StateCommand.CompleteCall.class::isInstance);
		}
	}

	@Test
	void refusedConnectionsEverywhereAreNotRun() throws Exception {
		try (TestRouter router = new TestRouter(closedServer())) {
			HttpResponse<String> response = router.send(order(router, "k"));
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.body()).contains("\"run\":\"no\"");
			assertThat(response.headers().firstValue("Retry-After")).isPresent();
			assertThat(router.state.records.get(new CallKey("t", "k"))).isInstanceOf(StateCommand.MarkNotRun.class);
		}
	}

	@Test
	void connectionLostAfterSendIsUnknownAndNotRetried() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.reset());
				TestRouter router = new TestRouter(server, server)) {
			for (int i = 0; i < 2; i++) {
				HttpResponse<String> response = router.send(order(router, "k"));
				assertThat(response.statusCode()).isEqualTo(502);
				assertThat(response.body()).contains("CALL_UNKNOWN").contains("\"run\":\"unknown\"");
			}
			assertThat(server.received()).hasSize(1);
			assertThat(router.state.history).containsExactly("begin", "MarkUnknown", "begin");
		}
	}

	@Test
	void partialResponseIsUnknown() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
			connection.reset();
		}); TestRouter router = new TestRouter(server)) {
			assertThat(router.send(order(router, "k")).body()).contains("\"run\":\"unknown\"");
			assertThat(server.received()).hasSize(1);
		}
	}

	@Test
	void unresponsiveServerIsUnknown() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.hang());
				TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router.send(order(router, "k").header("Fescuehold-Deadline-Ms", "300"));
			assertThat(response.body()).contains("\"run\":\"unknown\"");
			assertThat(server.received()).hasSize(1);
		}
	}

	@Test
	void routerFrozenBetweenGrantAndDispatchDoesNotDispatch() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED); TestRouter router = new TestRouter(server)) {
			router.retriesLeft.set(0);
			router.state.afterGrant = () -> router.clockOffsetMs.addAndGet(2_500);
			HttpResponse<String> response = router.send(order(router, "k"));
			assertThat(response.body()).contains("\"run\":\"no\"");
			assertThat(server.received()).isEmpty();
			assertThat(router.state.history).containsExactly("begin", "MarkNotRun");
		}
	}

	@Test
	void fencedOffCallIsRecordedAsNotRunAndRetried() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.answer("1".equals(request.headers().get("Fescuehold-Fencing-Number")) ? 412 : 201, "{}"));
				TestRouter router = new TestRouter(server)) {
			assertThat(router.send(order(router, "k")).statusCode()).isEqualTo(201);
			assertThat(router.state.history).containsExactly("begin", "MarkNotRun", "begin", "CompleteCall");
		}
	}

	@Test
	void noMajorityMeansNotRun() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED); TestRouter router = new TestRouter(server)) {
			router.state.beginFailure = new IllegalStateException("no majority");
			HttpResponse<String> response = router.send(order(router, "k"));
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.body()).contains("NO_QUORUM").contains("\"run\":\"no\"");
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void failedRecordIsRetriedInTheBackground() throws Exception {
		try (ScriptedServer server = new ScriptedServer(CREATED); TestRouter router = new TestRouter(server)) {
			router.state.remainingApplyFailures = 6;
			long startMs = System.currentTimeMillis();
			assertThat(router.send(order(router, "k")).statusCode()).isEqualTo(201);
			assertThat(System.currentTimeMillis() - startMs).isBetween(1_900L, 3_000L);
			CallerDisconnectTests
				.await(() -> router.state.records.get(new CallKey("t", "k")) instanceof StateCommand.CompleteCall);
		}
	}

	@Test
	void callOfACallerThatLeavesIsRecordedBeforeTheDrainEnds() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			Thread.sleep(500);
			connection.answer(201, "{}");
		}); TestRouter router = new TestRouter(server)) {
			var pending = router.client.sendAsync(order(router, "k").build(), HttpResponse.BodyHandlers.ofString());
			CallerDisconnectTests.await(() -> !server.received().isEmpty());
			pending.cancel(true);
			router.server().drain().block(Duration.ofSeconds(3));
			assertThat(router.state.history).containsExactly("begin", "CompleteCall");
		}
	}

	@Test
	void idempotentCallIsRetriedElsewhereWithinTheBudget() throws Exception {
		try (ScriptedServer failing = new ScriptedServer((request, connection) -> connection.reset());
				ScriptedServer server = new ScriptedServer(CREATED);
				TestRouter router = new TestRouter(failing, server)) {
			for (int i = 0; i < 6; i++) {
				assertThat(router.send(router.request("/services/depot/parts")).statusCode()).isEqualTo(201);
			}
			assertThat(server.received()).hasSize(6);
			assertThat(router.metric("retries")).isLessThanOrEqualTo(2);
			assertThat(Map.copyOf(router.state.records)).isEmpty();
		}
	}

	@Test
	void lateResponseNeverReachesAnotherCaller() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (request.target().contains("slow")) {
				Thread.sleep(700);
			}
			connection.answer(200, request.target());
			if (request.target().contains("twice")) {
				connection.answer(200, request.target());
			}
		}); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> late = router
				.send(router.request("/services/depot/slow").header("Fescuehold-Deadline-Ms", "200"));
			assertThat(late.statusCode()).isEqualTo(504);
			for (int i = 0; i < 12; i++) {
				String path = "/" + ((i % 4 == 3) ? "twice" : "fast") + i;
				assertThat(router.send(router.request("/services/depot" + path)).body()).isEqualTo(path);
				Thread.sleep(70);
			}
		}
	}

}
