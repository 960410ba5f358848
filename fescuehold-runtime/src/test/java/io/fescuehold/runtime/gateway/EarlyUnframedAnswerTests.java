package io.fescuehold.runtime.gateway;

import io.fescuehold.runtime.http.EarlyServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a server that answers an upload at once, without a length, sends a part of its
 * body and resets the connection: the caller must not get the part as complete (MIXED).
 */
@Timeout(60)
class EarlyUnframedAnswerTests {

	@ParameterizedTest
	@CsvSource({ "/order/x,1000,0", "/order/x,1000,60", "/order/x,3000000,0", "/order/x,3000000,60", "/once/x,1000,0",
			"/once/x,1000,60", "/once/x,3000000,0", "/once/x,3000000,60" })
	void partOfAnAnswerThatIsResetIsNotDeliveredAsComplete(String path, int uploadBytes, long pauseMs) {
		try (EarlyServer server = new EarlyServer(true, pauseMs);
				TestGateway gateway = TestGateway.withServerAt(server.port())) {
			TestGateway.Answer answer = gateway.send(path, "r1", "z".repeat(uploadBytes));
			assertThat(answer.status() == 200 && !answer.brokenOff())
				.as("status %s, body %s, delivered as complete", answer.status(), answer.body())
				.isFalse();
		}
	}

}
