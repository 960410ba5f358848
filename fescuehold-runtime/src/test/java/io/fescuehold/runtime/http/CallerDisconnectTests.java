package io.fescuehold.runtime.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that servers still generate after the caller has disconnected,
 * and against streams that are cancelled although the caller has reconnected.
 */
class CallerDisconnectTests {

	private static final ScriptedServer.Script SLOW_STREAM = (request, connection) -> {
		if (request.method().equals("DELETE")) {
			connection.answer(200, "{}");
			return;
		}
		connection.beginStream("x1");
		int from = (request.isChat()) ? 0 : (int) request.from();
		for (int position = from + 1; position <= 8; position++) {
			connection.token(position, "w" + position + " ");
			Thread.sleep(100);
		}
		connection.endStream(8);
	};

	static void await(BooleanSupplier condition) throws InterruptedException {
		long endMs = System.currentTimeMillis() + 5_000;
		while (!condition.getAsBoolean()) {
			assertThat(System.currentTimeMillis()).as("condition not met in time").isLessThan(endMs);
			Thread.sleep(20);
		}
	}

	static Socket openChat(TestRouter router, String body) throws IOException {
		Socket socket = new Socket("127.0.0.1", router.server().port());
		socket.setSoTimeout(5_000);
		socket.getOutputStream()
			.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nFescuehold-Team: t\r\nContent-Length: "
					+ body.length() + "\r\n\r\n" + body)
				.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	static BufferedReader reader(Socket socket) throws IOException {
		return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
	}

	private static void readUntil(BufferedReader in, String line) throws IOException {
		String seen = in.readLine();
		while (!line.equals(seen)) {
			assertThat(seen).as("the response ended before %s", line).isNotNull();
			seen = in.readLine();
		}
	}

	@Test
	void streamIsCancelledAfterTheGracePeriod() throws Exception {
		try (ScriptedServer server = new ScriptedServer(SLOW_STREAM); TestRouter router = new TestRouter(server)) {
			try (Socket caller = openChat(router, TestRouter.CHAT)) {
				readUntil(reader(caller), "id: 2");
			}
			long disconnectedAtMs = System.currentTimeMillis();
			await(() -> server.count("DELETE") == 1);
			assertThat(System.currentTimeMillis() - disconnectedAtMs).isBetween(250L, 1_500L);
			assertThat(router.outstandingServerIds).isEmpty();
		}
	}

	@Test
	void nonStreamedRequestIsCancelledAtOnce() throws Exception {
		try (ScriptedServer server = new ScriptedServer(SLOW_STREAM); TestRouter router = new TestRouter(server)) {
			try (Socket caller = openChat(router, TestRouter.NON_STREAMED_CHAT)) {
				await(() -> server.count("POST") == 1);
				Thread.sleep(150);
			}
			await(() -> server.count("DELETE") == 1);
		}
	}

	@Test
	void reconnectingCallerKeepsTheStreamThroughEitherRouter() throws Exception {
		try (ScriptedServer server = new ScriptedServer(SLOW_STREAM);
				TestRouter router = new TestRouter(server);
				TestRouter other = new TestRouter(server)) {
			try (Socket caller = openChat(router, TestRouter.CHAT)) {
				readUntil(reader(caller), "id: 2");
			}
			router.server().streamTaken("s0", "x1");
			HttpResponse<String> response = other.send(resume(other, "s0;x1;r2", 2, ""));
			assertThat(TestRouter.positions(response.body()).stream().distinct()).containsExactly(3, 4, 5, 6, 7, 8);
			assertThat(other.handovers).containsExactly("r2;s0;x1");
			Thread.sleep(400);
			assertThat(server.count("DELETE")).isZero();
		}
	}

	private static HttpRequest.Builder resume(TestRouter router, String stream, int last, String body) {
		return router.chat(body).header("Fescuehold-Stream", stream).header("Last-Event-ID", String.valueOf(last));
	}

	@Test
	void lostStreamIsContinuedFromTheCallersText() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (!request.isChat()) {
				connection.answer(404, "{}");
				return;
			}
			connection.beginStream("y1");
			connection.token(1, "w3 ");
			connection.endStream(1);
		}); TestRouter router = new TestRouter(server)) {
			String continued = "{\"model\":\"m\",\"stream\":true,\"continue_final_message\":true,\"messages\":["
					+ "{\"role\":\"user\",\"content\":\"hi\"},{\"role\":\"assistant\",\"content\":\"w1 w2 \"}]}";
			HttpResponse<String> response = router.send(resume(router, "s0;gone;r2", 2, continued));
			assertThat(TestRouter.positions(response.body())).startsWith(3);
			assertThat(server.received().getLast().body()).contains("\"content\":\"w1 w2 \"");
			HttpResponse<String> gone = router.send(resume(router, "s0;gone;r2", 2, ""));
			assertThat(gone.statusCode()).isEqualTo(410);
			assertThat(gone.body()).contains("\"code\":\"STREAM_GONE\"").contains("continue_final_message");
		}
	}

	@Test
	void slowReaderAppliesBackpressureToTheServer() throws Exception {
		AtomicLong sent = new AtomicLong();
		String text = "x".repeat(10_000);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			for (int position = 1; position <= 10_000; position++) {
				connection.token(position, text);
				sent.addAndGet(text.length());
			}
		}); TestRouter router = new TestRouter(server); Socket caller = openChat(router, TestRouter.CHAT)) {
			BufferedReader in = reader(caller);
			readUntil(in, "id: 1");
			Thread.sleep(2_000);
			long sentWhenPaused = sent.get();
			Thread.sleep(500);
			assertThat(sent.get()).isEqualTo(sentWhenPaused).isLessThan(30_000_000);
			assertThat(router.metric("stalls")).isZero();
			readUntil(in, "id: 200");
		}
	}

}
