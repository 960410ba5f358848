package io.fescuehold.standin.modelserver;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.fescuehold.standin.TestHttp;
import io.fescuehold.standin.http.JsonHttp;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a stand-in that differs from section 8 of the design page, which would
 * hide faults of routers.
 */
class ModelServerTests {

	private static final String CHAT = "/v1/chat/completions";

	private static final Pattern CONTENT = Pattern.compile("id: (\\d+)\ndata: .*?\"content\":\"([^\"]*)\"");

	private final ModelServer server = ModelServer.start(ModelServerOptions.DEFAULT.withTokenMs(2));

	private final ModelServer other = ModelServer.start(ModelServerOptions.DEFAULT.withTokenMs(2));

	@AfterEach
	void close() {
		this.server.close();
		this.other.close();
	}

	private static String body(String messages, String more) {
		return "{\"model\":\"m\",\"messages\":[" + messages + "]" + more + "}";
	}

	private static String message(String role, String content) {
		return "{\"role\":\"" + role + "\",\"content\":\"" + content + "\"}";
	}

	private static JsonNode json(String text) {
		try {
			return JsonHttp.MAPPER.readTree(text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static JsonNode chat(ModelServer server, String chatId, String body) {
		return json(TestHttp.send("POST", server.port(), CHAT, body, "X-Chat-Id", chatId).body());
	}

	private static String text(JsonNode answer) {
		return answer.at("/choices/0/message/content").asText();
	}

	private static int cachedTokens(JsonNode answer) {
		return answer.at("/usage/prompt_tokens_details/cached_tokens").asInt();
	}

	private static String streamText(String sse) {
		StringBuilder text = new StringBuilder();
		Matcher matcher = CONTENT.matcher(sse);
		while (matcher.find()) {
			text.append(matcher.group(2));
		}
		return text.toString();
	}

	private static List<Integer> positions(String sse) {
		List<Integer> positions = new ArrayList<>();
		Matcher matcher = CONTENT.matcher(sse);
		while (matcher.find()) {
			positions.add(Integer.valueOf(matcher.group(1)));
		}
		return positions;
	}

	private void setFaults(String json) {
		assertThat(TestHttp.send("POST", this.server.adminPort(), "/standin/faults", json).statusCode()).isEqualTo(200);
	}

	/** Guards against continuations that cannot be compared with the whole answer. */
	@Test
	void continuationOnAnotherServerGivesTheSameAnswer() {
		String whole = text(chat(this.server, "c", body(message("user", "a b"), "")));
		String half = text(chat(this.server, "c", body(message("user", "a b"), ",\"max_tokens\":10")));
		String rest = text(chat(this.other, "c",
				body(message("user", "a b") + "," + message("assistant", half), ",\"continue_final_message\":true")));
		assertThat(half + rest).isEqualTo(whole);
		assertThat(half.split(" ")).hasSize(10);
	}

	/** Guards against a prefix cache without the answers of earlier turns. */
	@Test
	void nextTurnFindsPromptAndAnswerInCache() {
		String answer = text(chat(this.server, "c", body(message("user", "a b"), ",\"max_tokens\":5")));
		String turn = message("user", "a b") + "," + message("assistant", answer.strip()) + "," + message("user", "d");
		assertThat(cachedTokens(chat(this.server, "c", body(turn, ",\"max_tokens\":1")))).isEqualTo(7);
		assertThat(cachedTokens(chat(this.other, "c", body(turn, ",\"max_tokens\":1")))).isZero();
	}

	/**
	 * Guards against a cache without a limit, and against evictions that are not
	 * published.
	 */
	@Test
	void cacheEvictsTheChatUsedLeastRecently() throws InterruptedException {
		try (ModelServer small = ModelServer.start(ModelServerOptions.DEFAULT.withCacheTokens(10))) {
			String body = body(message("user", "a b c"), ",\"max_tokens\":1");
			chat(small, "c1", body);
			chat(small, "c2", body);
			chat(small, "c1", body);
			chat(small, "c3", body);
			assertThat(cachedTokens(chat(small, "c1", body))).isEqualTo(3);
			assertThat(small.load().cacheUsedTokens()).isEqualTo(8);
			Thread.sleep(ModelServerOptions.DEFAULT.cacheEventLagMs() + 50);
			JsonNode events = json(TestHttp.send("GET", small.port(), "/cache/events?after=3", "").body());
			assertThat(events.at("/events/0/chatId").asText()).isEqualTo("c2");
			assertThat(events.at("/events/0/tokens").asInt()).isZero();
		}
	}

	/** Guards against a chat whose cache does not move between servers. */
	@Test
	void pulledCacheIsUsed() {
		String body = body(message("user", "a b c"), ",\"max_tokens\":1");
		chat(this.server, "c", body);
		String pull = "{\"chatId\":\"c\",\"host\":\"127.0.0.1\",\"port\":" + this.server.port() + "}";
		assertThat(TestHttp.send("POST", this.other.port(), "/kv/pull", pull).statusCode()).isEqualTo(200);
		assertThat(cachedTokens(chat(this.other, "c", body))).isEqualTo(3);
	}

	/** Guards against a stream that cannot be resumed at the exact position. */
	@Test
	void resetStreamIsResumedAfterItsLastPosition() {
		String body = body(message("user", "a"), ",\"max_tokens\":20,\"stream\":true");
		var whole = TestHttp.send("POST", this.server.port(), CHAT, body);
		String id = whole.headers().firstValue("X-Stream-Id").orElseThrow();
		var rest = TestHttp.send("GET", this.server.port(), "/v1/streams/" + id + "?from=12", "");
		assertThat(positions(rest.body())).startsWith(13).endsWith(20).hasSize(8);
		assertThat(streamText(whole.body())).endsWith(streamText(rest.body()));
		assertThat(rest.body()).endsWith("data: [DONE]\n\n").contains("\"completion_tokens\":20");
	}

	/** Guards against cancelled streams that are still served. */
	@Test
	void cancelledStreamIsGone() {
		String body = body(message("user", "a"), ",\"max_tokens\":2,\"stream\":true");
		String id = TestHttp.send("POST", this.server.port(), CHAT, body)
			.headers()
			.firstValue("X-Stream-Id")
			.orElseThrow();
		String path = "/v1/streams/" + id;
		assertThat(TestHttp.send("DELETE", this.server.port(), path, "").statusCode()).isEqualTo(204);
		assertThat(TestHttp.send("GET", this.server.port(), path, "").statusCode()).isEqualTo(404);
	}

	/** Guards against a reset fault that does not break the connection. */
	@Test
	void resetFaultBreaksTheStream() {
		setFaults("{\"resetAfterTokens\":3}");
		String body = body(message("user", "a"), ",\"max_tokens\":20,\"stream\":true");
		assertThatExceptionOfType(UncheckedIOException.class)
			.isThrownBy(() -> TestHttp.send("POST", this.server.port(), CHAT, body));
	}

	/** Guards against event faults that lose tokens, or that change nothing. */
	@Test
	void duplicatedAndReorderedEventsKeepAllTokens() {
		String body = body(message("user", "a"), ",\"max_tokens\":9,\"stream\":true");
		setFaults("{\"duplicateEvery\":4}");
		assertThat(positions(TestHttp.send("POST", this.server.port(), CHAT, body).body())).containsExactly(1, 2, 3, 4,
				4, 5, 6, 7, 8, 8, 9);
		setFaults("{\"reorderEvery\":3}");
		assertThat(positions(TestHttp.send("POST", this.server.port(), CHAT, body).body())).containsExactly(1, 2, 4, 3,
				5, 7, 6, 8, 9);
	}

	/** Guards against connections that are accepted while they should be refused. */
	@Test
	void refusedServerIsReachedAgainAtTheSamePort() {
		setFaults("{\"refuseConnections\":true}");
		assertThatExceptionOfType(UncheckedIOException.class)
			.isThrownBy(() -> TestHttp.send("GET", this.server.port(), "/load", ""));
		setFaults("{}");
		assertThat(TestHttp.send("GET", this.server.port(), "/load", "").statusCode()).isEqualTo(200);
	}

	/** Guards against a server that runs requests in the order of arrival only. */
	@Test
	void lowerPriorityNumberIsServedFirst() throws InterruptedException {
		List<String> order = new java.util.concurrent.CopyOnWriteArrayList<>();
		try (ModelServer one = ModelServer.start(ModelServerOptions.DEFAULT.withMaxRunning(1))) {
			List<Thread> threads = new ArrayList<>();
			for (String priority : List.of("0", "9", "1")) {
				threads.add(Thread.ofVirtual().start(() -> {
					chat(one, "c", body(message("user", "a"), ",\"max_tokens\":100,\"priority\":" + priority));
					order.add(priority);
				}));
				int expected = threads.size();
				while (one.load().runningRequests() + one.load().waitingRequests() < expected && order.isEmpty()) {
					Thread.sleep(5);
				}
			}
			for (Thread thread : threads) {
				thread.join();
			}
		}
		assertThat(order).containsExactly("0", "1", "9");
	}

	/** Guards against orders of a router that has been superseded by another one. */
	@Test
	void outdatedOrderIsRejectedIfFencingIsChecked() {
		String order = "{\"kind\":\"loadModel\",\"name\":\"m\"}";
		String header = "Fescuehold-Fencing-Number";
		assertThat(TestHttp.send("POST", this.server.port(), "/orders", order, header, "7").statusCode())
			.isEqualTo(200);
		assertThat(TestHttp.send("POST", this.server.port(), "/orders", order, header, "6").statusCode())
			.isEqualTo(412);
		try (ModelServer unfenced = ModelServer.start(ModelServerOptions.DEFAULT.withCheckFencing(false))) {
			TestHttp.send("POST", unfenced.port(), "/orders", order, header, "7");
			assertThat(TestHttp.send("POST", unfenced.port(), "/orders", order, header, "6").statusCode())
				.isEqualTo(200);
		}
	}

	/** Guards against invalid input that is rejected without a reason. */
	@Test
	void invalidRequestIsAnsweredWithAReason() {
		var response = TestHttp.send("POST", this.server.port(), CHAT, "{\"messages\":[]}");
		assertThat(response.statusCode()).isEqualTo(400);
		assertThat(response.body()).contains("send at least one message");
	}

	/** Guards against reports without the lag that routers have to tolerate. */
	@Test
	void loadReportLagsBehindTheLoad() throws InterruptedException {
		Thread.sleep(ModelServerOptions.DEFAULT.loadLagMs());
		Thread request = Thread.ofVirtual()
			.start(() -> chat(this.server, "c", body(message("user", "a"), ",\"max_tokens\":700")));
		long untilNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (this.server.load().outstandingTokens() == 0) {
			assertThat(System.nanoTime()).as("the request has not arrived").isLessThan(untilNs);
			Thread.sleep(5);
		}
		assertThat(json(TestHttp.send("GET", this.server.port(), "/load", "").body()).at("/outstandingTokens").asInt())
			.isZero();
		Thread.sleep(600);
		assertThat(json(TestHttp.send("GET", this.server.port(), "/load", "").body()).at("/outstandingTokens").asInt())
			.isPositive();
		request.join();
	}

}
