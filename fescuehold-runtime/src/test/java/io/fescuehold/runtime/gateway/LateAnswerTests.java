package io.fescuehold.runtime.gateway;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a duplicate of a response, complete or in fragments, is never delivered to
 * the caller of the next request on the same connection.
 */
@Timeout(30)
class LateAnswerTests {

	private static final String STALE = "stale";

	private static final String EXPECTED = "right";

	/** Long enough for the gateway to read what arrived on an idle connection. */
	private static final long SETTLE_MS = 100;

	@ParameterizedTest
	@ValueSource(ints = { 1, 12, 40, 60, 10_000 })
	void duplicateOnAnIdleConnectionClosesTheConnection(int earlyChars) throws InterruptedException {
		String duplicate = head("r1", 5) + STALE;
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (isFirst(request)) {
				connection.send(head(request.headers().get("X-Request"), 5) + EXPECTED);
				Thread.sleep(SETTLE_MS / 3);
				connection.send(start(duplicate, earlyChars));
			}
			else if (request.connection() == 1) {
				connection.send(rest(duplicate, earlyChars));
			}
			connection.send(isFirst(request) ? "" : head(request.headers().get("X-Request"), 5) + EXPECTED);
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").body()).isEqualTo(EXPECTED);
			Thread.sleep(SETTLE_MS);
			TestGateway.Answer second = gateway.send("/order/x", "r2", "");
			assertThat(second.status()).isEqualTo(200);
			assertThat(second.body()).isEqualTo(EXPECTED);
			assertThat(server.connections()).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 12, 40, 60, 10_000 })
	void duplicateInTheSameSegmentAsTheResponseClosesTheConnection(int earlyChars) throws InterruptedException {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (isFirst(request)) {
				connection.send(head(request.headers().get("X-Request"), 5) + EXPECTED
						+ start(head("r1", 5) + STALE, earlyChars));
				return;
			}
			if (request.connection() == 1) {
				connection.send(rest(head("r1", 5) + STALE, earlyChars));
			}
			connection.send(head(request.headers().get("X-Request"), 5) + EXPECTED);
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").body()).isEqualTo(EXPECTED);
			Thread.sleep(SETTLE_MS);
			assertThat(gateway.send("/order/x", "r2", "").body()).isEqualTo(EXPECTED);
			assertThat(server.connections()).isEqualTo(2);
		}
	}

	@Test
	void duplicateAfterTheNextRequestIsRecognisedByItsId() {
		assertDuplicateIsNotDelivered("X-Request: r1\r\n");
	}

	@Test
	void duplicateWithoutAnIdIsNotDelivered() {
		assertDuplicateIsNotDelivered("");
	}

	@ParameterizedTest
	@ValueSource(strings = { "X-Request: r1\r\n", "" })
	void duplicateOfAStreamIsNotDelivered(String idHeader) {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (!isFirst(request)) {
				connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + idHeader
						+ "Content-Length: 24\r\n\r\nid: 1\ndata: " + STALE + "-----\n\n");
			}
			connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\nContent-Length: 24\r\n\r\nid: 1\ndata: " + EXPECTED + "-----\n\n");
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/once/x", "r1", "").body()).contains(EXPECTED);
			TestGateway.Answer second = gateway.send("/once/x", "r2", "");
			assertThat(second.status()).isEqualTo(502);
			assertThat(second.body()).doesNotContain(STALE);
		}
	}

	private static void assertDuplicateIsNotDelivered(String idHeader) {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (!isFirst(request)) {
				connection
					.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\n" + idHeader + "Content-Length: 5\r\n\r\n" + STALE);
			}
			connection.send(head(request.headers().get("X-Request"), 5) + EXPECTED);
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").body()).isEqualTo(EXPECTED);
			TestGateway.Answer second = gateway.send("/order/x", "r2", "");
			// The order has run, so the gateway must not report it as not run.
			assertThat(second.status()).isEqualTo(502);
			assertThat(second.body()).doesNotContain(STALE);
			assertThat(gateway.send("/order/x", "r3", "").body()).isNotEqualTo(STALE);
		}
	}

	private static boolean isFirst(ScriptedServer.Received request) {
		return "r1".equals(request.headers().get("X-Request"));
	}

	private static String head(String requestId, int length) {
		return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + requestId + "\r\nContent-Length: " + length
				+ "\r\n\r\n";
	}

	private static String start(String text, int length) {
		return text.substring(0, Math.min(length, text.length()));
	}

	private static String rest(String text, int length) {
		return text.substring(Math.min(length, text.length()));
	}

}
