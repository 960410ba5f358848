package io.fescuehold.runtime.gateway;

import java.util.Map;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests requests that another host was to pass on and refused.
 */
@Timeout(30)
class RefusedRelayTests {

	// Guards against a stream that no server has run being reported as one that may have
	// run, because the refusal of the host was taken for a lost connection.
	@ParameterizedTest
	@ValueSource(strings = { "order", "once", "lookup", "resumable" })
	void requestThatNoServerRanIsReportedAsNotRun(String way) {
		try (ScriptedServer full = new ScriptedServer((request,
				connection) -> connection.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request: "
						+ request.headers().get("X-Request") + "\r\nContent-Length: 0\r\n\r\n"));
				TestGateway direct = new TestGateway(full);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), full)) {
			TestGateway.Answer answer = cutOff.send("/" + way + "/x", "r1", "body");
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.header("Retry-After")).isNotNull();
			assertThat(answer.body()).contains("\"run\":\"no\"");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "order", "once", "lookup", "resumable" })
	void requestThatMayHaveRunIsReportedAsSuch(String way) {
		try (ScriptedServer resetting = new ScriptedServer((request, connection) -> connection.reset());
				TestGateway direct = new TestGateway(resetting);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), resetting)) {
			TestGateway.Answer answer = cutOff.request("/" + way + "/x", "r1", "body", Map.of()).block();
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.body()).contains("\"run\":\"unknown\"");
		}
	}

}
