package io.fescuehold.runtime.gateway;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers that are none: a status line outside the protocol must neither be handed
 * on nor keep the caller waiting until its limit, although the server has answered.
 */
@Timeout(30)
class InvalidAnswerTests {

	private static String head(String statusLine, ScriptedServer.Received request) {
		return statusLine + "\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Length: 2\r\n\r\nok";
	}

	private static ScriptedServer answering(String statusLine) {
		return new ScriptedServer((request, connection) -> connection.send(head(statusLine, request)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 Unknown", "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 High",
			"HTTP/1.1 200 O\u0001K", "HTTP/2.7 200 OK", "ICY/1.1 200 OK" })
	void invalidStatusLineEndsAnOrderAtOnceWithAnErrorOfTheGateway(String statusLine) {
		try (ScriptedServer server = answering(statusLine); TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/order/x", "r1", "body");
			assertThat(answer.status()).as("not 504, the answer came at once").isEqualTo(502);
			assertThat(server.received()).as("runs of an order").hasSize(1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 Unknown", "HTTP/1.1 099 Low", "HTTP/1.1 999 High" })
	void invalidStatusLineEndsAStreamAtOnceWithAnErrorOfTheGateway(String statusLine) {
		try (ScriptedServer server = answering(statusLine); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/once/x", "r1", "body").status()).isEqualTo(502);
		}
	}

	@Test
	void lookupIsServedByAnotherServerAndTheInvalidOneIsAvoided() {
		try (ScriptedServer invalid = answering("HTTP/1.1 000 Unknown");
				ScriptedServer valid = answering("HTTP/1.1 200 OK");
				TestGateway gateway = new TestGateway(invalid, valid)) {
			for (int number = 0; number < 20; number++) {
				assertThat(gateway.send("/lookup/x", "r" + number, "").status()).isEqualTo(200);
			}
			assertThat(valid.received().size()).isGreaterThan(3 * invalid.received().size());
		}
	}

	@Test
	void informationalResponsesOfTheProtocolStillPrecedeAnAnswer() {
		try (ScriptedServer server = new ScriptedServer((request,
				connection) -> connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
						+ "HTTP/1.1 199 Own\r\n\r\n" + head("HTTP/1.1 200 OK", request)));
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "body").body()).isEqualTo("ok");
		}
	}

}
