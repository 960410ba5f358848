package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.time.Duration;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the responses to callers of non-streaming requests when backend servers fail,
 * reject requests, are slow or send wrong responses.
 */
@Timeout(30)
class GatewayCallTests {

	@Test
	void answerIsDeliveredUnchangedAndTheKeyIsKept() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ok(connection, request, "whole body"));
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/lookup/x?q=%20a", "r1", "hello");
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("whole body");
			assertThat(answer.header("X-Signature")).isEqualTo("s");
			ScriptedServer.Received received = server.received().getFirst();
			assertThat(received.target()).isEqualTo("/lookup/x?q=%20a");
			assertThat(received.body()).isEqualTo("hello");
			assertThat(received.headers()).containsEntry("X-Team", "team").containsEntry("X-Instance", "i-0");
			assertThat(received.headers()).doesNotContainKey("X-Key");
			assertThat(Integer.parseInt(received.headers().get("X-Left-Ms"))).isBetween(1, TestGateway.TIMEOUT_MS);
		}
	}

	@Test
	void idempotentRequestIsRetriedAfterAFailureButAnOrderIsNot() {
		ScriptedServer.Script failing = (request, connection) -> answer(connection, request, 500, "broken");
		try (ScriptedServer one = new ScriptedServer(failing);
				ScriptedServer two = new ScriptedServer(failing);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThat(gateway.send("/lookup/x", "r1", "").status()).isEqualTo(500);
			assertThat(one.received().size() + two.received().size()).isEqualTo(2);
			assertThat(gateway.send("/order/x", "r2", "").status()).isEqualTo(500);
			assertThat(one.received().size() + two.received().size()).isEqualTo(3);
		}
	}

	@Test
	void dumpShowsRoutesServersAndTheRetryBudgetButNoKey() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ok(connection, request, "x"));
				TestGateway gateway = new TestGateway(server)) {
			gateway.send("/lookup/x", "r1", "");
			String dump = gateway.dump();
			assertThat(dump).contains("routes=", "services=", "i-0", "rememberedParts=", "requests=1", "teams=[team]");
			assertThat(dump).doesNotContain("apiKeys");
		}
	}

	@Test
	void lostResponseToAnOrderIsReportedAsRunUnknown() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.reset());
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/order/x", "r1", "");
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.body()).contains("\"run\":\"unknown\"");
			assertThat(server.received()).hasSize(1);
		}
	}

	// A request that may have run must not be reported as not run when no server is left.
	@Test
	void lostResponseWithoutAnotherServerIsReportedAsRunUnknown() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.reset());
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/lookup/x", "r1", "");
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.body()).contains("\"run\":\"unknown\"");
		}
	}

	@Test
	void errorOfTheOnlyServerIsDelivered() {
		try (ScriptedServer server = new ScriptedServer(
				(request, connection) -> answer(connection, request, 500, "broken"));
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/lookup/x", "r1", "");
			assertThat(answer.status()).isEqualTo(500);
			assertThat(answer.body()).isEqualTo("broken");
		}
	}

	@Test
	void truncatedResponseNeverReachesTheCaller() {
		ScriptedServer.Script truncating = (request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 100\r\n\r\npart");
			connection.reset();
		};
		try (ScriptedServer one = new ScriptedServer(truncating);
				ScriptedServer two = new ScriptedServer((request, connection) -> ok(connection, request, "whole"));
				TestGateway gateway = new TestGateway(one, two)) {
			for (int count = 0; count < 6; count++) {
				TestGateway.Answer answer = gateway.send("/lookup/x", "r" + count, "");
				assertThat(answer.status()).isEqualTo(200);
				assertThat(answer.body()).isEqualTo("whole");
			}
			assertThat(one.received()).isNotEmpty();
		}
	}

	@Test
	void responseToAnotherRequestIsNotDelivered() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: other\r\nContent-Length: 2\r\n\r\nno"));
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").status()).isEqualTo(502);
		}
	}

	@Test
	void unsignedSuccessIsNotDelivered() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(200, "{}"));
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").status()).isEqualTo(502);
		}
	}

	@Test
	void orderThatAServerDeclinedGoesToAnother() {
		ScriptedServer.Script replaced = (request, connection) -> connection
			.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance: i-9\r\nContent-Length: 0\r\n\r\n");
		try (ScriptedServer one = new ScriptedServer(replaced);
				ScriptedServer two = new ScriptedServer((request, connection) -> ok(connection, request, "done"));
				TestGateway gateway = new TestGateway(one, two)) {
			for (int count = 0; count < 5; count++) {
				assertThat(gateway.send("/order/x", "r" + count, "").status()).isEqualTo(200);
			}
			assertThat(one.received()).as("a replaced instance is tried once").hasSizeLessThanOrEqualTo(1);
		}
	}

	@Test
	void orderThatAllServersRejectedIsReportedAsNotRun() {
		ScriptedServer.Script full = (request, connection) -> connection
			.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
		try (ScriptedServer one = new ScriptedServer(full);
				ScriptedServer two = new ScriptedServer(full);
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway.send("/order/x", "r1", "");
			assertThat(answer.status()).isEqualTo(503);
			assertThat(Double.parseDouble(answer.header("Retry-After"))).isPositive();
			assertThat(answer.body()).contains("\"run\":\"no\"");
		}
	}

	@Test
	void silentServerIsAnsweredForAtTheTimeLimit() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.hang());
				TestGateway gateway = new TestGateway(server)) {
			long startedNs = System.nanoTime();
			assertThat(gateway.send("/order/x", "r1", "").status()).isEqualTo(504);
			assertThat(Duration.ofNanos(System.nanoTime() - startedNs)).isBetween(
					Duration.ofMillis(TestGateway.TIMEOUT_MS - 20), Duration.ofMillis(TestGateway.TIMEOUT_MS + 500));
		}
	}

	@Test
	void slowAnswerOfALookupIsAwaitedWithoutAnotherServer() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			Thread.sleep(900);
			ok(connection, request, "slow");
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/lookup/x", "r1", "").body()).isEqualTo("slow");
			assertThat(server.received()).hasSize(1);
		}
	}

	@Test
	void silentServerOfALookupIsReplacedBeforeTheTimeout() {
		try (ScriptedServer silent = new ScriptedServer((request, connection) -> connection.hang());
				ScriptedServer healthy = new ScriptedServer((request, connection) -> ok(connection, request, "found"));
				TestGateway gateway = new TestGateway(silent, healthy)) {
			for (int count = 0; count < 4; count++) {
				assertThat(gateway.send("/lookup/x", "r" + count, "").body()).isEqualTo("found");
			}
		}
	}

	@Test
	void unreachableServersAreReportedAtOnceWithARetryDelay() {
		ScriptedServer stopped = new ScriptedServer((request, connection) -> connection.hang());
		stopped.close();
		try (TestGateway gateway = new TestGateway(stopped)) {
			long startedNs = System.nanoTime();
			TestGateway.Answer answer = gateway.send("/order/x", "r1", "");
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.header("Retry-After")).isNotNull();
			assertThat(Duration.ofNanos(System.nanoTime() - startedNs)).isLessThan(Duration.ofMillis(1_000));
		}
	}

	@Test
	void unknownRouteAndKeyAreDenied() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ok(connection, request, "x"));
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/none/x", "r1", "").status()).isEqualTo(404);
			int status = gateway.client()
				.headers((headers) -> headers.set("X-Key", "wrong"))
				.get()
				.uri("/lookup/x")
				.response()
				.block()
				.status()
				.code();
			assertThat(status).isEqualTo(401);
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void drainingGatewayRefusesAndCloses() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> ok(connection, request, "x"));
				TestGateway gateway = new TestGateway(server)) {
			gateway.server().closeConnections();
			TestGateway.Answer last = gateway.send("/lookup/x", "r1", "");
			assertThat(last.status()).isEqualTo(200);
			assertThat(last.header("Connection")).isEqualToIgnoringCase("close");
			gateway.server().refuseRequests();
			assertThat(gateway.send("/lookup/x", "r2", "").status()).isEqualTo(503);
			gateway.awaitNothingInFlight();
		}
	}

	private static void ok(ScriptedServer.Connection connection, ScriptedServer.Received request, String body)
			throws IOException {
		answer(connection, request, 200, body);
	}

	private static void answer(ScriptedServer.Connection connection, ScriptedServer.Received request, int status,
			String body) throws IOException {
		connection.send("HTTP/1.1 " + status + " Status\r\nX-Signature: s\r\nX-Request: "
				+ request.headers().get("X-Request") + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
	}

}
