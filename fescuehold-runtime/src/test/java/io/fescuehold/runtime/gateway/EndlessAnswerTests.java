package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a server which sends bytes without end, fast or slowly, costs the gateway
 * bounded time and memory: within the route's time-out the caller gets an error or an
 * aborted stream, and the gateway closes the connection to the server.
 */
@Timeout(60)
class EndlessAnswerTests {

	/** The time-out of the test routes and a margin for the response. */
	private static final long RESPONSE_WITHIN_MS = TestGateway.TIMEOUT_MS + 500;

	/** Far more bytes than the gateway may read before it closes the connection. */
	private static final int MANY_BYTES = 256 << 20;

	private final CountDownLatch closed = new CountDownLatch(1);

	private volatile long sentBytes;

	@ParameterizedTest
	@EnumSource
	void fastEndlessResponseToAnOrderClosesTheConnection(EndlessPart part) throws InterruptedException {
		assertEnds(part, "/order/x", false);
	}

	@ParameterizedTest
	@EnumSource
	void slowEndlessResponseToAnOrderEndsAtTheTimeout(EndlessPart part) throws InterruptedException {
		assertEnds(part, "/order/x", true);
	}

	@ParameterizedTest
	@EnumSource
	void fastEndlessResponseToAStreamIsVisiblyAborted(EndlessPart part) throws InterruptedException {
		assertEnds(part, "/once/x", false);
	}

	@ParameterizedTest
	@EnumSource
	void slowEndlessResponseToAStreamEndsAtTheTimeout(EndlessPart part) throws InterruptedException {
		assertEnds(part, "/once/x", true);
	}

	@Test
	void informationalResponseIsNotTheFinalResponse() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.send("HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: "
					+ request.headers().get("X-Request") + "\r\nContent-Length: 2\r\n\r\nok"));
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/order/x", "r1", "");
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo("ok");
		}
	}

	@Test
	void endlessResponseWhileTheRequestIsStillSentIsCutOff() throws InterruptedException {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> sendWithoutEnd(connection,
				"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-", "y", false));
				TestGateway gateway = new TestGateway(server)) {
			long startedNs = System.nanoTime();
			TestGateway.Answer answer = gateway.send("/order/x", "r1", "z".repeat(1 << 20));
			assertThat(answer.status()).isIn(502, 504);
			assertThat(tookMs(startedNs)).isLessThan(RESPONSE_WITHIN_MS);
			assertClosed();
		}
	}

	@Test
	void endlessBytesOnAnIdleConnectionCloseTheConnection() throws InterruptedException {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\nContent-Length: 2\r\n\r\nok");
			if (request.connection() == 1) {
				Thread.sleep(50);
				sendWithoutEnd(connection, "", "y", false);
			}
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").body()).isEqualTo("ok");
			assertClosed();
			assertThat(gateway.send("/order/x", "r2", "").body()).isEqualTo("ok");
		}
	}

	@Test
	void serverThatSendsWithoutEndIsAvoidedAndOthersAreUnaffected() {
		try (ScriptedServer endless = new ScriptedServer((request, connection) -> sendWithoutEnd(connection,
				EndlessPart.BODY_WITHOUT_LENGTH.head(request), EndlessPart.BODY_WITHOUT_LENGTH.piece, false));
				ScriptedServer healthy = new ScriptedServer((request,
						connection) -> connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: "
								+ request.headers().get("X-Request") + "\r\nContent-Length: 2\r\n\r\nok"));
				TestGateway gateway = new TestGateway(endless, healthy)) {
			for (int number = 0; number < 20; number++) {
				gateway.send("/lookup/x", "r" + number, "");
			}
			assertThat(healthy.received().size()).isGreaterThan(3 * endless.received().size());
			assertThat(gateway.send("/lookup/x", "last", "").body()).isEqualTo("ok");
		}
	}

	private void assertEnds(EndlessPart part, String path, boolean slow) throws InterruptedException {
		try (ScriptedServer server = new ScriptedServer(
				(request, connection) -> sendWithoutEnd(connection, part.head(request), part.piece, slow));
				TestGateway gateway = new TestGateway(server)) {
			long startedNs = System.nanoTime();
			TestGateway.Answer answer = gateway.send(path, "r1", "");
			assertThat(tookMs(startedNs)).isLessThan(RESPONSE_WITHIN_MS);
			if (!answer.brokenOff()) {
				assertThat(answer.status()).isIn(502, 504);
			}
			assertClosed();
			gateway.awaitNothingInFlight();
		}
	}

	private void assertClosed() throws InterruptedException {
		assertThat(this.closed.await(5, TimeUnit.SECONDS)).as("closed after %d bytes", this.sentBytes).isTrue();
	}

	private static long tookMs(long startedNs) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
	}

	private void sendWithoutEnd(ScriptedServer.Connection connection, String head, String piece, boolean slow)
			throws IOException, InterruptedException {
		try {
			connection.send(head);
			String block = slow ? piece : piece.repeat(8_192 / piece.length());
			while (this.sentBytes < MANY_BYTES) {
				connection.send(block);
				this.sentBytes += block.length();
				if (slow) {
					Thread.sleep(50);
				}
			}
		}
		catch (IOException ex) {
			this.closed.countDown();
			throw ex;
		}
	}

	/** The part of a response that never ends. */
	enum EndlessPart {

		STATUS_LINE("HTTP/1.1 200 ", "O"),

		HEADER_NAME("HTTP/1.1 200 OK\r\nX-", "y"),

		HEADER_VALUE("HTTP/1.1 200 OK\r\nX-Long: ", "y"),

		HEADERS("HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),

		CHUNK_LENGTH("%sTransfer-Encoding: chunked\r\n\r\n", "0"),

		CHUNK_EXTENSION("%sTransfer-Encoding: chunked\r\n\r\n5;x=", "y"),

		CHUNKS("%sTransfer-Encoding: chunked\r\n\r\n", "5\r\nevent\r\n"),

		TRAILERS("%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"),

		BODY_WITH_LENGTH("%sContent-Length: 1000000000\r\n\r\n", "y"),

		BODY_WITHOUT_LENGTH("%s\r\n", "y"),

		INFORMATIONAL("", "HTTP/1.1 102 Processing\r\n\r\n"),

		NO_ANSWER("", "y");

		private final String start;

		private final String piece;

		EndlessPart(String start, String piece) {
			this.start = start;
			this.piece = piece;
		}

		String head(ScriptedServer.Received request) {
			return this.start.replace("%s",
					"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request") + "\r\n");
		}

	}

}
