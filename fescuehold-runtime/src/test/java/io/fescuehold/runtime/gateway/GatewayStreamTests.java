package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.Disposable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that streams arrive without missing or repeated events, or are visibly aborted.
 */
@Timeout(30)
class GatewayStreamTests {

	private final List<String> resumePositions = Collections.synchronizedList(new ArrayList<>());

	@Test
	void streamIsDeliveredUnchanged() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(connection, request);
			events(connection, 1, 4);
			connection.send("0\r\n\r\n");
		}); TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/once/x", "r1", "prompt");
			assertThat(answer.body()).isEqualTo(text(1, 4));
			assertThat(answer.header("X-Signature")).isEqualTo("s");
		}
	}

	@Test
	void streamInterruptedInsideAnEventIsResumedOnAnotherServer() {
		ScriptedServer.Script interrupting = (request, connection) -> {
			int after = resumeAfter(request);
			this.resumePositions.add("after " + after);
			begin(connection, request);
			if (after == 0) {
				events(connection, 1, 3);
				connection.chunk("id: 4\nda");
				resetAfterDelay(connection);
			}
			else {
				events(connection, after + 1, 6);
				connection.send("0\r\n\r\n");
			}
		};
		try (ScriptedServer one = new ScriptedServer(interrupting);
				ScriptedServer two = new ScriptedServer(interrupting);
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway.send("/resumable/x", "r1", "prompt");
			assertThat(answer.brokenOff()).isFalse();
			assertThat(answer.body()).isEqualTo(text(1, 6));
			assertThat(this.resumePositions).containsExactly("after 0", "after 3");
			assertThat(one.received()).hasSize(1);
			assertThat(two.received()).hasSize(1);
		}
	}

	@Test
	void stalledStreamIsResumedOnAnotherServer() {
		ScriptedServer.Script silent = (request, connection) -> {
			int after = resumeAfter(request);
			begin(connection, request);
			if (after == 0) {
				events(connection, 1, 2);
				connection.hang();
			}
			events(connection, after + 1, 5);
			connection.send("0\r\n\r\n");
		};
		try (ScriptedServer one = new ScriptedServer(silent);
				ScriptedServer two = new ScriptedServer(silent);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThat(gateway.send("/resumable/x", "r1", "prompt").body()).isEqualTo(text(1, 5));
		}
	}

	// Guards against streams that are moved and read again because a sound server paused
	// (incident "cut-off hosts").
	@Test
	void streamOfAServerThatPausesForASecondIsNotMoved() {
		ScriptedServer.Script pausing = (request, connection) -> {
			begin(connection, request);
			events(connection, 1, 2);
			Thread.sleep(1_200);
			events(connection, 3, 5);
			connection.send("0\r\n\r\n");
		};
		try (ScriptedServer one = new ScriptedServer(pausing);
				ScriptedServer two = new ScriptedServer(pausing);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThat(gateway.send("/patient/x", "r1", "prompt").body()).isEqualTo(text(1, 5));
			assertThat(one.received().size() + two.received().size()).isEqualTo(1);
			assertThat(gateway.counter("gateway.repeats.service")).isZero();
		}
	}

	// Guards against a stream without head or first event if its server fails while the
	// version is being recorded (incident "joined versions").
	@Test
	void streamThatBreaksWhileItsVersionIsRecordedIsCompleteAndInOrder() {
		ScriptedServer.Script breaking = (request, connection) -> {
			int after = resumeAfter(request);
			this.resumePositions.add("after " + after);
			begin(connection, request);
			if (this.resumePositions.size() == 1) {
				events(connection, 1, 1);
				resetAfterDelay(connection);
			}
			else {
				events(connection, after + 1, 6);
				connection.send("0\r\n\r\n");
			}
		};
		try (ScriptedServer one = new ScriptedServer(breaking);
				ScriptedServer two = new ScriptedServer(breaking);
				TestGateway gateway = new TestGateway(100, Duration.ofMillis(300), one, two)) {
			TestGateway.Answer answer = gateway.send("/resumable/x", "r1", "prompt");
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(text(1, 6));
			assertThat(this.resumePositions).containsExactly("after 0", "after 0");
		}
	}

	@Test
	void eventsAlreadyForwardedAreNotRepeated() {
		ScriptedServer.Script repeating = (request, connection) -> {
			begin(connection, request);
			if (request.headers().containsKey("Last-Event-ID")) {
				events(connection, 1, 5);
				connection.send("0\r\n\r\n");
			}
			else {
				events(connection, 1, 3);
				resetAfterDelay(connection);
			}
		};
		try (ScriptedServer one = new ScriptedServer(repeating);
				ScriptedServer two = new ScriptedServer(repeating);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThat(gateway.send("/resumable/x", "r1", "prompt").body()).isEqualTo(text(1, 5));
		}
	}

	@Test
	void interruptedStreamThatIsNotResumableIsVisiblyAborted() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(connection, request);
			events(connection, 1, 2);
			resetAfterDelay(connection);
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/once/x", "r1", "prompt").brokenOff()).isTrue();
			assertThat(server.received()).hasSize(1);
			assertThat(gateway.counter("gateway.brokenOff")).isEqualTo(1);
		}
	}

	@Test
	void streamWithAMissingEventIsAborted() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(connection, request);
			events(connection, 1, 2);
			events(connection, 4, 5);
			connection.send("0\r\n\r\n");
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/once/x", "r1", "prompt").brokenOff()).isTrue();
		}
	}

	@Test
	void serverHearsWithinHalfASecondThatTheCallerHasLeft() throws InterruptedException {
		long[] closedNs = new long[1];
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(connection, request);
			try {
				for (int event = 1; event < 1_000; event++) {
					events(connection, event, event);
					Thread.sleep(20);
				}
			}
			catch (IOException ex) {
				closedNs[0] = System.nanoTime();
			}
		}); TestGateway gateway = new TestGateway(server)) {
			Disposable caller = gateway.request("/resumable/x", "r1", "prompt").subscribe();
			Thread.sleep(500);
			long leftNs = System.nanoTime();
			caller.dispose();
			Thread.sleep(500);
			assertThat(closedNs[0]).isNotZero();
			assertThat((closedNs[0] - leftNs) / 1_000_000).isLessThan(500);
			assertThat(gateway.server().inFlight()).isZero();
		}
	}

	@Test
	void slowStreamIsLeftAloneWithoutAnotherServer() {
		try (ScriptedServer server = slowServer(); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/resumable/x", "r1", "prompt").body()).isEqualTo(text(1, 3));
		}
	}

	@Test
	void slowStreamIsLeftAloneWhenTheRetryBudgetIsUsedUp() {
		try (ScriptedServer one = slowServer();
				ScriptedServer two = slowServer();
				TestGateway gateway = new TestGateway(0, one, two)) {
			assertThat(gateway.send("/resumable/x", "r1", "prompt").body()).isEqualTo(text(1, 3));
			assertThat(one.received().size() + two.received().size()).isEqualTo(1);
		}
	}

	@Test
	void streamThatSendsOnlyCommentsNowAndThenGoesOnAtAnotherServer() {
		ScriptedServer.Script commenting = (request, connection) -> {
			int after = resumeAfter(request);
			begin(connection, request);
			if (after == 0) {
				events(connection, 1, 2);
				for (int comment = 0; comment < 100; comment++) {
					connection.chunk(": still here\n\n");
					Thread.sleep(100);
				}
			}
			events(connection, after + 1, 5);
			connection.send("0\r\n\r\n");
		};
		try (ScriptedServer one = new ScriptedServer(commenting);
				ScriptedServer two = new ScriptedServer(commenting);
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway.send("/resumable/x", "r1", "prompt");
			assertThat(answer.brokenOff()).isFalse();
			assertThat(answer.body().replace(": still here\n\n", "")).isEqualTo(text(1, 5));
		}
	}

	// Sends the first event later than the gateway would wait if it could replace the
	// server.
	private static ScriptedServer slowServer() {
		return new ScriptedServer((request, connection) -> {
			Thread.sleep(1_100);
			begin(connection, request);
			events(connection, 1, 3);
			connection.send("0\r\n\r\n");
		});
	}

	@Test
	void streamThatHasNoEventLeftKeepsTheServersHead() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(connection, request);
			connection.send("0\r\n\r\n");
		}); TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.request("/resumable/x", "r1", "prompt", Map.of("Last-Event-ID", "4"))
				.block();
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.header("X-Signature")).isEqualTo("s");
			assertThat(answer.body()).isEmpty();
			assertThat(gateway.counter("gateway.brokenOff")).isZero();
		}
	}

	@Test
	void streamOfOnlyRepeatedEventsKeepsTheServersHead() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(connection, request);
			events(connection, 1, 4);
			connection.send("0\r\n\r\n");
		}); TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.request("/resumable/x", "r1", "prompt", Map.of("Last-Event-ID", "4"))
				.block();
			assertThat(answer.header("X-Signature")).isEqualTo("s");
			assertThat(answer.body()).isEmpty();
		}
	}

	@Test
	void streamInterruptedAfterItsLastEventIsCompletedByTheNextServer() {
		ScriptedServer.Script interrupting = (request, connection) -> {
			int after = resumeAfter(request);
			begin(connection, request);
			if (after == 0) {
				events(connection, 1, 3);
				resetAfterDelay(connection);
			}
			else {
				connection.send("0\r\n\r\n");
			}
		};
		try (ScriptedServer one = new ScriptedServer(interrupting);
				ScriptedServer two = new ScriptedServer(interrupting);
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway.send("/resumable/x", "r1", "prompt");
			assertThat(answer.brokenOff()).isFalse();
			assertThat(answer.body()).isEqualTo(text(1, 3));
		}
	}

	// A stream went on with an error that a server had sent as a success, or ended as
	// complete before its last event (ORDER, MIXED).
	@ParameterizedTest
	@ValueSource(strings = { "Content-Type: application/json\r\nContent-Length: 15\r\n\r\n{\"error\":\"bad\"}",
			"Content-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"error\":\"bad\"}\n\n",
			"Content-Length: 0\r\n\r\n", "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" })
	void streamDoesNotGoOnWithAnError(String error) {
		ScriptedServer.Script failing = (request, connection) -> {
			String head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\n";
			if (resumeAfter(request) > 0) {
				connection.send(head + error);
				return;
			}
			connection
				.send(head + "Content-Type: text/event-stream; charset=utf-8\r\nTransfer-Encoding: chunked\r\n\r\n");
			events(connection, 1, 3);
			resetAfterDelay(connection);
		};
		try (ScriptedServer one = new ScriptedServer(failing);
				ScriptedServer two = new ScriptedServer(failing);
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway.send("/resumable/x", "r1", "prompt");
			assertThat(answer.brokenOff()).isTrue();
			assertThat(gateway.counter("gateway.brokenOff")).isEqualTo(1);
		}
	}

	@Test
	void takenUpStreamDoesNotGoOnWithAnError() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"));
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.request("/resumable/x", "r1", "prompt", Map.of("Last-Event-ID", "4"))
				.block();
			assertThat(answer.status()).isEqualTo(502);
		}
	}

	@Test
	void errorBeforeTheStreamIsDelivered() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection
			.send("HTTP/1.1 500 Status\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nbad"));
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/once/x", "r1", "prompt");
			assertThat(answer.status()).isEqualTo(500);
			assertThat(answer.body()).isEqualTo("bad");
		}
	}

	// Waits before the reset, which discards what the receiver has not read yet.
	private static void resetAfterDelay(ScriptedServer.Connection connection) throws IOException, InterruptedException {
		Thread.sleep(100);
		connection.reset();
	}

	private static int resumeAfter(ScriptedServer.Received request) {
		return Integer.parseInt(request.headers().getOrDefault("Last-Event-ID", "0"));
	}

	private static void begin(ScriptedServer.Connection connection, ScriptedServer.Received request)
			throws IOException {
		connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
	}

	private static void events(ScriptedServer.Connection connection, int first, int last) throws IOException {
		for (int event = first; event <= last; event++) {
			connection.chunk(text(event, event));
		}
	}

	private static String text(int first, int last) {
		StringBuilder text = new StringBuilder();
		for (int event = first; event <= last; event++) {
			text.append("id: ").append(event).append("\ndata: token ").append(event).append("\n\n");
		}
		return text.toString();
	}

}
