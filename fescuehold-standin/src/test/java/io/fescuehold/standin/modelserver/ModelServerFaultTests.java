package io.fescuehold.standin.modelserver;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.fescuehold.standin.TestHttp;
import io.fescuehold.standin.http.JsonHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against faults of a model server that are accepted but have no effect.
 */
class ModelServerFaultTests {

	private static final String CHAT = "/v1/chat/completions";

	private final ModelServer server = ModelServer.start(new ModelServerOptions(2, 100_000, 16, 100_000, 0, 0, true));

	@AfterEach
	void close() {
		this.server.close();
	}

	private void setFaults(String json) {
		assertThat(TestHttp.send("POST", this.server.adminPort(), "/standin/faults", json).statusCode()).isEqualTo(200);
	}

	private int chat(String chatId, boolean stream) {
		String body = "{\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\"max_tokens\":5,\"stream\":" + stream
				+ "}";
		return TestHttp.send("POST", this.server.port(), CHAT, body, "X-Chat-Id", chatId).statusCode();
	}

	private JsonNode get(String path) throws JsonProcessingException {
		return JsonHttp.MAPPER.readTree(TestHttp.send("GET", this.server.port(), path, "").body());
	}

	/** Guards against a stall that closes the connection or sends heartbeats. */
	@Test
	void stalledStreamKeepsItsConnectionOpen() throws IOException {
		setFaults("{\"stallStreams\":true}");
		String body = "{\"messages\":[{\"content\":\"a\"}],\"stream\":true}";
		StringBuilder received = new StringBuilder();
		try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
			socket.setSoTimeout(700);
			String request = "POST " + CHAT + " HTTP/1.1\r\nHost: standin\r\nContent-Length: " + body.length()
					+ "\r\n\r\n" + body;
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> {
				while (true) {
					int next = socket.getInputStream().read();
					assertThat(next).as("byte after " + received).isNotNegative();
					received.append((char) next);
				}
			});
		}
		assertThat(received.toString()).doesNotContain("data:").doesNotContain("ping");
	}

	/** Guards against errors and delays that are not injected. */
	@Test
	void errorsAndDelaysApplyToChats() {
		setFaults("{\"answer500\":true}");
		assertThat(chat("c", false)).isEqualTo(500);
		setFaults("{\"delayMs\":300}");
		long startNanos = System.nanoTime();
		assertThat(chat("c", false)).isEqualTo(200);
		assertThat((System.nanoTime() - startNanos) / 1_000_000).isGreaterThanOrEqualTo(300);
	}

	/** Guards against cache events without the gaps that routers have to tolerate. */
	@Test
	void everyNthCacheEventIsMissing() throws JsonProcessingException {
		setFaults("{\"cacheEventGapEvery\":3}");
		for (int chat = 1; chat <= 5; chat++) {
			chat("c" + chat, false);
		}
		List<Integer> sequences = new ArrayList<>();
		get("/cache/events?after=0").path("events").forEach((event) -> sequences.add(event.path("sequence").asInt()));
		assertThat(sequences).containsExactly(1, 2, 4, 5);
	}

	/** Guards against load reports that continue to change while they are frozen. */
	@Test
	void frozenLoadReportsRepeatTheLastOne() throws JsonProcessingException, InterruptedException {
		long first = get("/load").path("reportedAtMs").asLong();
		setFaults("{\"freezeLoadReports\":true}");
		Thread.sleep(20);
		assertThat(get("/load").path("reportedAtMs").asLong()).isEqualTo(first);
		setFaults("{}");
		assertThat(get("/load").path("reportedAtMs").asLong()).isGreaterThan(first);
	}

	/**
	 * Guards against a flapping server that never refuses or never accepts connections.
	 */
	@Test
	void flappingServerRefusesAndAcceptsInTurn() throws InterruptedException {
		setFaults("{\"flapPeriodMs\":150}");
		int refused = 0;
		int accepted = 0;
		for (int attempt = 0; attempt < 30; attempt++) {
			try {
				TestHttp.send("GET", this.server.port(), "/load", "");
				accepted++;
			}
			catch (UncheckedIOException ex) {
				refused++;
			}
			Thread.sleep(30);
		}
		assertThat(refused).isGreaterThan(3);
		assertThat(accepted).isGreaterThan(3);
	}

}
