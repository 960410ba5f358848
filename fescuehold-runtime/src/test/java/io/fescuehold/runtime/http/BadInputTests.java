package io.fescuehold.runtime.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against invalid input that is forwarded to a server, keeps a connection open or
 * is refused without code, remedy, log line and metric.
 */
class BadInputTests {

	private static final int MIB = 1_048_576;

	private final ListAppender<ILoggingEvent> log = new ListAppender<>();

	private ScriptedServer server;

	private TestRouter router;

	@BeforeEach
	void start() {
		this.server = new ScriptedServer((request, connection) -> connection.answer(200, "{}"));
		this.router = new TestRouter(this.server);
		Logger logger = (Logger) LoggerFactory.getLogger(RequestLog.class);
		logger.setLevel(Level.INFO);
		this.log.start();
		logger.addAppender(this.log);
	}

	@AfterEach
	void stop() {
		((Logger) LoggerFactory.getLogger(RequestLog.class)).detachAppender(this.log);
		this.router.close();
		this.server.close();
	}

	private void assertRefused(HttpResponse<String> response, int status, String code) {
		assertThat(response.statusCode()).isEqualTo(status);
		assertThat(response.headers().firstValue("content-type")).contains("application/problem+json");
		assertThat(response.body()).contains("\"code\":\"" + code + "\"")
			.contains("\"run\":\"no\"")
			.contains("\"remedy\":\"");
		assertThat(this.server.received()).isEmpty();
		assertThat(this.log.list).hasSize(1);
		assertThat(this.log.list.getFirst().getFormattedMessage()).contains(code).contains("requestId=");
		assertThat(this.router.metric("refusals." + code)).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			{                                                    | 400 | BAD_REQUEST
			[]                                                   | 400 | BAD_REQUEST
			{"messages":[{}]}                                    | 400 | BAD_REQUEST
			{"model":"m","messages":[]}                          | 400 | BAD_REQUEST
			{"model":"m","messages":[{}],"max_tokens":-1}        | 400 | BAD_REQUEST
			{"model":"m","messages":[{}],"stream":"yes"}         | 400 | BAD_REQUEST
			{"model":"m","messages":[{}]} trailing               | 400 | BAD_REQUEST
			{"model":"none","messages":[{}]}                     | 404 | UNKNOWN_MODEL
			""")
	void bodyIsRefused(String body, int status, String code) throws Exception {
		assertRefused(this.router.send(this.router.chat(body)), status, code);
	}

	@Test
	void invalidUtf8IsRefused() throws Exception {
		byte[] body = TestRouter.CHAT.replace("hi", "h\u00ff").getBytes(StandardCharsets.ISO_8859_1);
		assertRefused(
				this.router.send(
						this.router.request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofByteArray(body))),
				400, "BAD_REQUEST");
	}

	@Test
	void deeplyNestedBodyIsRefused() throws Exception {
		assertRefused(this.router.send(this.router.chat("[".repeat(100_000))), 400, "BAD_REQUEST");
	}

	@Test
	void unknownTeamIsRefused() throws Exception {
		assertRefused(this.router.send(this.router.chat(TestRouter.CHAT).setHeader("Fescuehold-Team", "u")), 403,
				"UNKNOWN_TEAM");
	}

	@Test
	void unknownServiceIsRefused() throws Exception {
		assertRefused(this.router.send(this.router.request("/services/none/x")), 404, "UNKNOWN_SERVICE");
	}

	@Test
	void unknownPathIsRefused() throws Exception {
		assertRefused(this.router.send(this.router.request("/v2")), 404, "NOT_FOUND");
	}

	@Test
	void invalidHeaderIsRefused() throws Exception {
		assertRefused(this.router.send(this.router.chat(TestRouter.CHAT).header("Fescuehold-Deadline-Ms", "soon")), 400,
				"BAD_REQUEST");
	}

	@Test
	void declaredOversizedBodyIsRefusedBeforeItIsSent() throws Exception {
		try (Socket socket = connect("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nFescuehold-Team: t\r\n"
				+ "Content-Length: " + 2 * MIB + "\r\n\r\n")) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 413").contains("BODY_TOO_LARGE");
		}
	}

	@Test
	void chunkedOversizedBodyIsRefused() throws Exception {
		try (Socket socket = connect("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nFescuehold-Team: t\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n")) {
			String chunk = "10000\r\n" + "x".repeat(65_536) + "\r\n";
			try {
				for (int i = 0; i < 40; i++) {
					send(socket, chunk);
				}
			}
			catch (IOException ex) {
				// The router closes the connection after refusing the body.
			}
			CallerDisconnectTests.await(() -> this.router.metric("refusals.BODY_TOO_LARGE") == 1);
		}
	}

	@Test
	void oversizedHeadersAreRefused() throws Exception {
		try (Socket socket = connect(
				"GET /healthz HTTP/1.1\r\nHost: r\r\n" + "X-Flood: aaaaaaaaaaaaaaaa\r\n".repeat(2_000) + "\r\n")) {
			// The response is lost if the router closes the connection while some of the
			// headers are unread.
			assertThat(readAll(socket)).matches("(?s)(HTTP/1.1 4.*)?");
			assertThat(this.router.metric("requests")).isZero();
		}
	}

	@Test
	void slowHeadIsClosedInTime() throws Exception {
		try (Socket socket = connect("GET /healthz HTTP/1.1\r\nX-Slow: ")) {
			long startMs = System.currentTimeMillis();
			Thread.ofVirtual().start(() -> {
				try {
					while (true) {
						send(socket, "a");
						Thread.sleep(50);
					}
				}
				catch (IOException | InterruptedException ex) {
					// The router has closed the connection.
				}
			});
			readAll(socket);
			assertThat(System.currentTimeMillis() - startMs).isBetween(400L, 2_000L);
		}
	}

	@Test
	void slowBodyIsRefusedInTime() throws Exception {
		try (Socket socket = connect("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nFescuehold-Team: t\r\n"
				+ "Content-Length: 100\r\n\r\n{")) {
			long startMs = System.currentTimeMillis();
			assertThat(readAll(socket)).startsWith("HTTP/1.1 400").contains("did not arrive within 600 ms");
			assertThat(System.currentTimeMillis() - startMs).isLessThan(2_000);
		}
	}

	@Test
	void halfClosedConnectionIsClosedInTime() throws Exception {
		try (Socket socket = connect("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nFescuehold-Team: t\r\n"
				+ "Content-Length: 100\r\n\r\n{")) {
			socket.shutdownOutput();
			long startMs = System.currentTimeMillis();
			readAll(socket);
			assertThat(System.currentTimeMillis() - startMs).isLessThan(2_000);
			assertThat(this.server.received()).isEmpty();
			CallerDisconnectTests.await(() -> this.log.list.size() == 1);
			assertThat(this.log.list.getFirst().getFormattedMessage()).contains("closed the connection");
		}
	}

	@Test
	void drainRefusesNewRequestsAndWaitsForThoseInFlight() throws Exception {
		try (ScriptedServer slow = new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			Thread.sleep(500);
			connection.tokens(1, 3);
			connection.endStream(3);
		}); TestRouter draining = new TestRouter(slow)) {
			var pending = draining.client.sendAsync(draining.chat(TestRouter.CHAT).build(),
					HttpResponse.BodyHandlers.ofString());
			CallerDisconnectTests.await(() -> !slow.received().isEmpty());
			var drained = draining.server().drain().toFuture();
			assertThat(drained).isNotDone();
			HttpResponse<String> refused = draining.send(draining.chat(TestRouter.CHAT));
			assertThat(refused.statusCode()).isEqualTo(503);
			assertThat(refused.body()).contains("DRAINING").contains("\"run\":\"no\"");
			assertThat(TestRouter.positions(pending.get().body())).startsWith(1, 2, 3);
			drained.get(2, TimeUnit.SECONDS);
			assertThat(draining.server().dump().toString()).contains("inFlight=0").contains("draining=true");
		}
	}

	private Socket connect(String text) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.router.server().port());
		socket.setSoTimeout(5_000);
		send(socket, text);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static String readAll(Socket socket) throws IOException {
		BufferedReader in = CallerDisconnectTests.reader(socket);
		try {
			return in.lines().collect(Collectors.joining("\n"));
		}
		catch (UncheckedIOException ex) {
			assertThat(ex).as("the connection was not closed in time").hasCauseInstanceOf(SocketException.class);
			return "";
		}
	}

}
