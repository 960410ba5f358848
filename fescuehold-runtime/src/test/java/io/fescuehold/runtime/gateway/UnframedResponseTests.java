package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.util.Map;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests responses that have neither a length nor chunks and end with their connection:
 * one that breaks off must not look complete (MIXED, ORDER).
 */
@Timeout(30)
class UnframedResponseTests {

	private static final String FIRST_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

	private static void begin(ScriptedServer.Received request, ScriptedServer.Connection connection)
			throws IOException {
		connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Type: text/event-stream\r\n\r\n");
	}

	private static ScriptedServer.Script stream(String firstRun, boolean reset) {
		return (request, connection) -> {
			boolean resumed = request.headers().containsKey("Last-Event-ID");
			begin(request, connection);
			connection.send(resumed ? "id: 3\ndata: c\n\n" : firstRun);
			if (reset && !resumed) {
				Thread.sleep(100);
				connection.reset();
			}
			throw new IOException("the connection ends");
		};
	}

	@Test
	void streamThatEndsWithAnEventIsComplete() {
		try (ScriptedServer server = new ScriptedServer(stream(FIRST_EVENTS, false));
				TestGateway gateway = new TestGateway(server)) {
			for (int request = 1; request <= 3; request++) {
				TestGateway.Answer answer = gateway.request("/once/x", "r" + request, "p", Map.of("X-Parts", "a,b"))
					.block();
				assertThat(answer.brokenOff()).isFalse();
				assertThat(answer.body()).isEqualTo(FIRST_EVENTS);
			}
			assertThat(server.connections()).as("connections, none of which is reused").isGreaterThanOrEqualTo(3);
		}
	}

	@Test
	void streamThatEndsInsideAnEventIsResumed() {
		ScriptedServer.Script script = stream(FIRST_EVENTS + "id: 3\nda", false);
		try (ScriptedServer one = new ScriptedServer(script);
				ScriptedServer two = new ScriptedServer(script);
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway.send("/resumable/x", "r1", "p");
			assertThat(answer.brokenOff()).isFalse();
			assertThat(answer.body()).isEqualTo(FIRST_EVENTS + "id: 3\ndata: c\n\n");
		}
	}

	@Test
	void streamThatEndsInsideAnEventIsBrokenOffWhereItCannotBeResumed() {
		try (ScriptedServer server = new ScriptedServer(stream(FIRST_EVENTS + "id: 3\nda", false));
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/once/x", "r1", "p").brokenOff()).isTrue();
		}
	}

	@Test
	void streamThatIsResetAfterAnEventIsBrokenOff() {
		try (ScriptedServer server = new ScriptedServer(stream(FIRST_EVENTS, true));
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/once/x", "r1", "p").brokenOff()).isTrue();
		}
	}

	@Test
	void plainResponseIsCompleteAtTheEndOfItsConnectionButNotAfterAReset() {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			begin(request, connection);
			connection.send("body");
			if (request.headers().get("X-Request").equals("reset")) {
				Thread.sleep(100);
				connection.reset();
			}
			throw new IOException("the connection ends");
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "whole", "p").body()).isEqualTo("body");
			assertThat(gateway.send("/order/x", "reset", "p").status()).isEqualTo(502);
		}
	}

}
