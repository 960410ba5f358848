package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.fescuehold.runtime.http.ScriptedServer;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests signed answers whose status promises that the request has not run, but which do
 * not state it. Their server may have run the request.
 */
@Timeout(60)
class UnprovenRejectionTests {

	private static final int[] REJECTIONS = { 408, 421, 429, 503 };

	private static final String[] ALL_WAYS = { "order", "once", "lookup", "resumable" };

	private static final String[] REPEATABLE_WAYS = { "lookup", "resumable" };

	private static final String EVENT = "id: 1\ndata: a\n\n";

	static IntStream rejections() {
		return IntStream.of(REJECTIONS);
	}

	static Stream<Arguments> rejectionsOnAllWays() {
		return rejectionsOn(ALL_WAYS);
	}

	static Stream<Arguments> rejectionsOnRepeatableWays() {
		return rejectionsOn(REPEATABLE_WAYS);
	}

	private static Stream<Arguments> rejectionsOn(String... ways) {
		return Stream.of(ways)
			.flatMap((way) -> Stream.of(Path.DIRECT, Path.RELAYED)
				.flatMap((path) -> rejections().mapToObj((status) -> Arguments.of(way, path, status))));
	}

	static Stream<Arguments> rejectionsOnAllWaysWithoutRelay() {
		return Stream.of(ALL_WAYS).flatMap((way) -> rejections().mapToObj((status) -> Arguments.of(way, status)));
	}

	static Stream<Arguments> failuresWithoutAPromiseOnAllWays() {
		return Stream.of(ALL_WAYS)
			.flatMap((way) -> Stream.of(Path.DIRECT, Path.RELAYED)
				.flatMap((path) -> IntStream.of(302, 400, 404, 409, 500, 502, 504)
					.mapToObj((status) -> Arguments.of(way, path, status))));
	}

	private static String signed(ScriptedServer.Received request, int status, String headers) {
		return "HTTP/1.1 " + status + " Status\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nRetry-After: 0.1\r\n" + headers + "Content-Length: 6\r\n\r\nfailed";
	}

	private static ScriptedServer answering(int status) {
		return new ScriptedServer((request, connection) -> connection.send(signed(request, status, "")));
	}

	private static ScriptedServer.Script refusing(String headers) {
		return (request, connection) -> connection.send("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Request: "
				+ request.headers().get("X-Request") + "\r\n" + headers + "Content-Length: 0\r\n\r\n");
	}

	private static void serve(ScriptedServer.Received request, ScriptedServer.Connection connection)
			throws IOException {
		connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Type: text/event-stream\r\nContent-Length: " + EVENT.length() + "\r\n\r\n" + EVENT);
	}

	// The first request that arrives anywhere is failed, the next ones are left to the
	// other script.
	private static ScriptedServer.Script failingFirst(int status, ScriptedServer.Script others) {
		AtomicBoolean failed = new AtomicBoolean();
		return (request, connection) -> {
			if (failed.getAndSet(true)) {
				others.serve(request, connection);
			}
			else {
				connection.send(signed(request, status, ""));
			}
		};
	}

	private static int received(ScriptedServer... servers) {
		return Stream.of(servers).mapToInt((server) -> server.received().size()).sum();
	}

	private static void assertThatItMayHaveRun(TestGateway.Answer answer) {
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.body()).contains("\"run\":\"unknown\"").contains("SERVER_FAILED");
		assertThat(answer.header("X-Signature")).isNull();
		assertThat(answer.header("Retry-After")).isNull();
	}

	// Guards against a caller being told that a request has not run although its server
	// may have run it (REFUSED).
	@ParameterizedTest
	@MethodSource("rejectionsOnAllWays")
	void rejectionWithoutTheStatementIsReportedAsRunUnknown(String way, Path path, int status) {
		try (ScriptedServer one = answering(status);
				ScriptedServer two = answering(status);
				TestGateway direct = new TestGateway(one, two);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), one, two)) {
			TestGateway.Answer answer = path.of(direct, cutOff).send("/" + way + "/x", "r1", "body");
			assertThatItMayHaveRun(answer);
			assertThat(answer.body()).contains((path == Path.DIRECT) ? "status " + status : "Host 127.0.0.1")
				.contains("retry if the request is idempotent");
			assertThat(received(one, two)).as("runs").isEqualTo(List.of(REPEATABLE_WAYS).contains(way) ? 2 : 1);
		}
	}

	// A host of an earlier version delivers each signed answer unchanged.
	@ParameterizedTest
	@MethodSource("rejectionsOnAllWaysWithoutRelay")
	void rejectionThatAHostOfAnEarlierVersionPassesOnIsReportedAsRunUnknown(String way, int status) {
		try (ScriptedServer earlier = new ScriptedServer(
				(request, connection) -> connection.send(signed(request, status, "fescuehold-relay-server: i-0\r\n")));
				ScriptedServer server = answering(status);
				TestGateway cutOff = TestGateway.cutOff(earlier.port(), server)) {
			assertThatItMayHaveRun(cutOff.send("/" + way + "/x", "r1", "body"));
			assertThat(earlier.received()).as("runs").hasSize(1);
			assertThat(server.received()).isEmpty();
		}
	}

	// A host of an earlier version takes the refusal from this header.
	@Test
	void hostThatPassedTheRequestOnLearnsThatItMayHaveRun() {
		try (ScriptedServer server = answering(503); TestGateway gateway = new TestGateway(server)) {
			String refusal = gateway.client()
				.port(gateway.server().relayPort())
				.headers((headers) -> headers.set("X-Request", "r1").set("fescuehold-relay-attempts", "0"))
				.post()
				.uri("/order/x")
				.response()
				.block()
				.responseHeaders()
				.get("fescuehold-relay-refusal");
			assertThat(refusal).isEqualTo("SERVER_FAILED,UNKNOWN,0");
		}
	}

	@ParameterizedTest
	@MethodSource("rejectionsOnRepeatableWays")
	void repeatableRequestIsServedByAnotherServer(String way, Path path, int status) {
		try (ScriptedServer one = answering(status);
				ScriptedServer two = new ScriptedServer(UnprovenRejectionTests::serve);
				TestGateway direct = new TestGateway(one, two);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), one, two)) {
			for (int count = 0; count < 4; count++) {
				TestGateway.Answer answer = path.of(direct, cutOff).send("/" + way + "/x", "r" + count, "body");
				assertThat(answer.status()).isEqualTo(200);
				assertThat(answer.body()).isEqualTo(EVENT);
			}
			assertThat(one.received()).isNotEmpty();
		}
	}

	@ParameterizedTest
	@MethodSource("failuresWithoutAPromiseOnAllWays")
	void failureWithoutAPromiseIsDeliveredUnchanged(String way, Path path, int status) {
		try (ScriptedServer server = answering(status);
				TestGateway direct = new TestGateway(server);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), server)) {
			TestGateway.Answer answer = path.of(direct, cutOff).send("/" + way + "/x", "r1", "body");
			assertThat(answer.status()).isEqualTo(status);
			assertThat(answer.body()).isEqualTo("failed");
			assertThat(answer.header("X-Signature")).isEqualTo("s");
			assertThat(answer.header("Retry-After")).isEqualTo("0.1");
		}
	}

	@ParameterizedTest
	@MethodSource("rejectionsOnAllWaysWithoutRelay")
	void rejectionWithTheStatementIsReportedAsNotRun(String way, int status) {
		try (ScriptedServer server = new ScriptedServer(
				(request, connection) -> connection.send(signed(request, status, "X-Not-Run: 1\r\n")));
				TestGateway gateway = new TestGateway(server)) {
			TestGateway.Answer answer = gateway.send("/" + way + "/x", "r1", "body");
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.body()).contains("\"run\":\"no\"");
			assertThat(answer.header("Retry-After")).isNotNull();
		}
	}

	// Guards against a request that may have run at one server being reported as not run
	// because the next one refuses it honestly.
	@ParameterizedTest
	@ValueSource(strings = { "lookup", "resumable" })
	void refusalByTheNextServerLeavesTheRequestUnknown(String way) {
		assertThatTheNextServerLeavesTheRequestUnknown(way, refusing(""));
	}

	@ParameterizedTest
	@ValueSource(strings = { "lookup", "resumable" })
	void nextServerThatRestsLeavesTheRequestUnknown(String way) {
		assertThatTheNextServerLeavesTheRequestUnknown(way, refusing("X-Rest-Ms: 60000\r\n"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "lookup", "resumable" })
	void limitOfTheNextServerLeavesTheRequestUnknown(String way) {
		assertThatTheNextServerLeavesTheRequestUnknown(way, refusing("X-Limit: 0\r\n"));
	}

	private static void assertThatTheNextServerLeavesTheRequestUnknown(String way, ScriptedServer.Script next) {
		ScriptedServer.Script script = failingFirst(503, next);
		try (ScriptedServer one = new ScriptedServer(script);
				ScriptedServer two = new ScriptedServer(script);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThatItMayHaveRun(gateway.send("/" + way + "/x", "r1", "body"));
			assertThat(received(one, two)).isGreaterThanOrEqualTo(2);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "lookup", "resumable" })
	void stopOfTheHostLeavesTheRequestUnknown(String way) throws Exception {
		ScriptedServer.Script script = failingFirst(429, (request, connection) -> connection.hang());
		try (ScriptedServer one = new ScriptedServer(script);
				ScriptedServer two = new ScriptedServer(script);
				TestGateway gateway = new TestGateway(one, two)) {
			CompletableFuture<TestGateway.Answer> open = gateway.request("/" + way + "/x", "r1", "body").toFuture();
			while (received(one, two) < 2) {
				Thread.sleep(1);
			}
			gateway.endRequests();
			TestGateway.Answer answer = open.get(1, TimeUnit.SECONDS);
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.body()).contains("HOST_STOPPED").contains("\"run\":\"unknown\"");
		}
	}

	@ParameterizedTest
	@MethodSource("rejections")
	void takenUpStreamIsReportedAsRunUnknown(int status) {
		try (ScriptedServer one = answering(status);
				ScriptedServer two = answering(status);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThatItMayHaveRun(
					gateway.request("/resumable/x", "r1", "body", Map.of("X-Resumes", "r0", "Last-Event-ID", "2"))
						.block());
			assertThat(received(one, two)).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@MethodSource("rejections")
	void streamIsBrokenOffIfTheServerThatContinuesItRejectsWithoutTheStatement(int status) {
		ScriptedServer.Script script = (request, connection) -> {
			if (request.headers().containsKey("Last-Event-ID")) {
				connection.send(signed(request, status, ""));
				return;
			}
			connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			connection.chunk(EVENT);
			Thread.sleep(100);
			connection.reset();
		};
		try (ScriptedServer one = new ScriptedServer(script);
				ScriptedServer two = new ScriptedServer(script);
				TestGateway gateway = new TestGateway(one, two)) {
			assertThat(gateway.send("/resumable/x", "r1", "body").brokenOff()).isTrue();
			assertThat(received(one, two)).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "order", "once" })
	void headRequestIsReportedAsRunUnknown(String way) {
		try (ScriptedServer server = new ScriptedServer((request,
				connection) -> connection.send("HTTP/1.1 503 Full\r\nX-Signature: s\r\nX-Request: "
						+ request.headers().get("X-Request") + "\r\nContent-Length: 6\r\n\r\n"));
				TestGateway gateway = new TestGateway(server)) {
			int status = gateway.client()
				.headers((headers) -> headers.set("X-Request", "r1"))
				.request(HttpMethod.HEAD)
				.uri("/" + way + "/x")
				.response()
				.block()
				.status()
				.code();
			assertThat(status).isEqualTo(502);
			assertThat(server.received()).hasSize(1);
		}
	}

	// Guards against a quick rejection of one copy taking the answer of the other one
	// away.
	@ParameterizedTest
	@ValueSource(strings = { "lookup", "resumable" })
	void rejectionDoesNotWinTheRaceOfTwoCopies(String way) {
		AtomicInteger copies = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			if (request.headers().get("X-Request").startsWith("w")) {
				serve(request, connection);
			}
			else if (copies.getAndIncrement() == 0) {
				Thread.sleep(250);
				serve(request, connection);
			}
			else {
				connection.send(signed(request, 429, ""));
			}
		};
		try (ScriptedServer one = new ScriptedServer(script);
				ScriptedServer two = new ScriptedServer(script);
				TestGateway gateway = TestGateway.hedging(0.1, one, two)) {
			for (int count = 0; count < 60; count++) {
				gateway.send("/" + way + "/x", "w" + count, "");
			}
			TestGateway.Answer answer = gateway.send("/" + way + "/x", "slow", "");
			assertThat(copies).as("copies").hasValue(2);
			assertThat(answer.status()).isEqualTo(200);
			assertThat(answer.body()).isEqualTo(EVENT);
		}
	}

	// Guards against a server that is preferred because it rejects quickly.
	@ParameterizedTest
	@MethodSource("rejectionsOnAllWaysWithoutRelay")
	void rejectionCountsAsAFailureOfItsServer(String way, int status) {
		try (ScriptedServer server = answering(status); TestGateway gateway = new TestGateway(server)) {
			gateway.send("/" + way + "/x", "r1", "body");
			assertThat(gateway.counter("gateway.serverFailures.service.FAILED")).isEqualTo(1);
		}
	}

	// The connection is intact after a complete answer.
	@ParameterizedTest
	@ValueSource(strings = { "order", "once" })
	void connectionIsUsedAgain(String way) {
		try (ScriptedServer server = answering(503); TestGateway gateway = new TestGateway(server)) {
			for (int count = 0; count < 3; count++) {
				gateway.send("/" + way + "/x", "r" + count, "body");
			}
			assertThat(server.connections()).isEqualTo(1);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "order", "once" })
	void logNamesTheStatusOfTheServerAndWhatTheCallerGets(String way) {
		Logger logger = (Logger) LoggerFactory.getLogger(GatewayLog.class);
		ListAppender<ILoggingEvent> log = new ListAppender<>();
		log.start();
		logger.addAppender(log);
		Level level = logger.getLevel();
		logger.setLevel(Level.INFO);
		try (ScriptedServer server = answering(429); TestGateway gateway = new TestGateway(server)) {
			gateway.send("/" + way + "/x", "r1", "body");
			gateway.awaitNothingInFlight();
		}
		finally {
			logger.setLevel(level);
			logger.detachAppender(log);
		}
		assertThat(log.list).extracting(ILoggingEvent::getFormattedMessage)
			.contains("request r1: server i-0 failed: status 429 without the statement that the request has not run;"
					+ " the request may have run, the caller gets 502");
	}

	/**
	 * The way of a request from its caller to the servers.
	 */
	enum Path {

		DIRECT, RELAYED;

		TestGateway of(TestGateway direct, TestGateway cutOff) {
			return (this == DIRECT) ? direct : cutOff;
		}

	}

}
