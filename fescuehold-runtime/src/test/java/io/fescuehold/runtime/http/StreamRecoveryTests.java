package io.fescuehold.runtime.http;

import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that stop, lose tokens or repeat tokens after the failure of a
 * connection or a server.
 */
class StreamRecoveryTests {

	private static final int TOKENS = 8;

	private static ScriptedServer resuming(int tokensBefore, ScriptedServer.Script interruption) {
		return new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			if (request.isChat()) {
				connection.tokens(1, tokensBefore);
				interruption.serve(request, connection);
			}
			connection.tokens((int) request.from() + 1, TOKENS);
			connection.endStream(TOKENS);
		});
	}

	private static void assertComplete(HttpResponse<String> response) {
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(TestRouter.positions(response.body()).stream().distinct().toList())
			.isEqualTo(IntStream.rangeClosed(1, TOKENS).boxed().toList());
		assertThat(TestRouter.text(response.body())).isEqualTo(TestRouter.expectedText(TOKENS));
		assertThat(response.body()).endsWith("data: [DONE]\n\n");
	}

	@Test
	void stalledConnectionIsReplacedWithinTheStallLimit() throws Exception {
		try (ScriptedServer server = resuming(3, (request, connection) -> connection.hang());
				TestRouter router = new TestRouter(server)) {
			long startMs = System.currentTimeMillis();
			HttpResponse<String> response = router.send(router.chat(TestRouter.CHAT));
			assertThat(System.currentTimeMillis() - startMs).isLessThan(2_000);
			assertComplete(response);
			assertThat(server.received().get(1).target()).isEqualTo("/v1/streams/x1?from=3");
			assertThat(server.received().get(1).connection()).isEqualTo(2);
			assertThat(router.metric("stalls")).isEqualTo(1);
			assertThat(router.metric("resumes")).isEqualTo(1);
		}
	}

	@Test
	void evictionAfterStallKeepsOtherStreams() throws Exception {
		AtomicInteger chats = new AtomicInteger();
		try (ScriptedServer server = resuming(1, (request, connection) -> {
			if (chats.incrementAndGet() == 1) {
				connection.hang();
			}
			for (int position = 2; position <= TOKENS; position++) {
				Thread.sleep(250);
				connection.token(position, "w" + position + " ");
			}
			connection.endStream(TOKENS);
		}); TestRouter router = new TestRouter(server)) {
			var stalled = router.client.sendAsync(router.chat(TestRouter.CHAT).build(),
					HttpResponse.BodyHandlers.ofString());
			CallerDisconnectTests.await(() -> chats.get() == 1);
			assertComplete(router.send(router.chat(TestRouter.CHAT)));
			assertComplete(stalled.get());
			assertThat(router.metric("resumes")).isEqualTo(1);
		}
	}

	@Test
	void resetConnectionIsReplaced() throws Exception {
		try (ScriptedServer server = resuming(3, (request, connection) -> connection.reset());
				TestRouter router = new TestRouter(server)) {
			assertComplete(router.send(router.chat(TestRouter.CHAT)));
		}
	}

	@Test
	void nonStreamedResponseSurvivesReset() throws Exception {
		try (ScriptedServer server = resuming(3, (request, connection) -> connection.reset());
				TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.NON_STREAMED_CHAT));
			assertThat(response.body()).contains("\"content\":\"" + TestRouter.expectedText(TOKENS) + "\"");
		}
	}

	@Test
	void repeatedPositionIsDroppedAndMissingOneFetched() throws Exception {
		try (ScriptedServer server = resuming(3, (request, connection) -> {
			connection.token(2, "w2 ");
			connection.token(3, "w3 ");
			connection.token(5, "w5 ");
			connection.token(4, "w4 ");
			connection.hang();
		}); TestRouter router = new TestRouter(server)) {
			assertComplete(router.send(router.chat(TestRouter.CHAT)));
			assertThat(server.received().get(1).from()).isEqualTo(3);
		}
	}

	@Test
	void lostServerIsReplacedByContinuationElsewhere() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		try (ScriptedServer first = new ScriptedServer((request, connection) -> {
			if (requests.incrementAndGet() == 1) {
				connection.beginStream("x1");
				connection.tokens(1, 3);
			}
			connection.reset();
		}); ScriptedServer second = new ScriptedServer((request, connection) -> {
			connection.beginStream("y1");
			for (int position = 4; position <= TOKENS; position++) {
				connection.token(position - 3, "w" + position + " ");
			}
			connection.endStream(TOKENS - 3);
		}); TestRouter router = new TestRouter(first, second)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.CHAT));
			assertComplete(response);
			assertThat(second.received().getFirst().body()).contains("\"continue_final_message\":true")
				.contains("{\"role\":\"assistant\",\"content\":\"w1 w2 w3 \"}");
			assertThat(response.body()).contains(": fescuehold-stream s1;y1;r1")
				.contains("\"completion_tokens\":" + TOKENS)
				.contains("\"prompt_tokens\":7");
			// The caller may receive the response before the router has recorded that
			// the request ended.
			CallerDisconnectTests.await(() -> router.outstandingServerIds.isEmpty());
		}
	}

	@Test
	void refusedConnectionBeforeAnyTokenIsRetriedWithinTheBudget() throws Exception {
		ScriptedServer closed = new ScriptedServer((request, connection) -> connection.reset());
		closed.close();
		try (ScriptedServer second = resuming(TOKENS, (request, connection) -> connection.endStream(TOKENS));
				TestRouter router = new TestRouter(closed, second)) {
			assertComplete(router.send(router.chat(TestRouter.CHAT)));
			assertThat(second.received().getFirst().headers()).containsEntry("Fescuehold-Attempt", "2");
			router.retriesLeft.set(0);
			HttpResponse<String> refused = router.send(router.chat(TestRouter.CHAT));
			assertThat(refused.statusCode()).isEqualTo(502);
			assertThat(refused.headers().firstValue("content-type")).contains("application/problem+json");
			assertThat(refused.body()).contains("\"code\":\"SERVER_FAILED\"").contains("\"run\":\"no\"");
			assertThat(refused.headers().firstValue("Retry-After")).isPresent();
		}
	}

	@Test
	void clientErrorIsNotRetried() throws Exception {
		try (ScriptedServer server = new ScriptedServer(
				(request, connection) -> connection.answer(422, "{\"error\":\"too long\"}"));
				TestRouter router = new TestRouter(server, server)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.CHAT));
			assertThat(response.statusCode()).isEqualTo(422);
			assertThat(response.body()).isEqualTo("{\"error\":\"too long\"}");
			assertThat(server.received()).hasSize(1);
		}
	}

	@Test
	void idleStreamCarriesHeartbeats() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			for (int i = 0; i < 6; i++) {
				connection.chunk(": ping\n\n");
				Thread.sleep(250);
			}
			connection.tokens(1, TOKENS);
			connection.endStream(TOKENS);
		}); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.CHAT));
			assertComplete(response);
			assertThat(response.body().split(": heartbeat", -1).length - 1).isBetween(3, 10);
			assertThat(router.metric("stalls")).isZero();
		}
	}

	@Test
	void deadlineEndsTheStreamAndCancelsItAtTheServer() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (!request.isChat()) {
				connection.answer(200, "{}");
				return;
			}
			connection.beginStream("x1");
			for (int position = 1; position < 100; position++) {
				connection.token(position, "w ");
				Thread.sleep(100);
			}
		}); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router
				.send(router.chat(TestRouter.CHAT).header("Fescuehold-Deadline-Ms", "700"));
			assertThat(response.body()).contains("event: error")
				.contains("\"code\":\"DEADLINE_EXCEEDED\"")
				.doesNotContain("[DONE]");
			CallerDisconnectTests.await(() -> server.count("DELETE") == 1);
		}
	}

}
