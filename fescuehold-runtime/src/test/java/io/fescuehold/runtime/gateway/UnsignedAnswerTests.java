package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.fescuehold.runtime.http.ScriptedServer;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests answers that carry the request's id but no signature, on each way by which an
 * answer reaches a caller. They prove nothing: neither that they are the server's answer
 * nor that the request has not run.
 */
@Timeout(60)
class UnsignedAnswerTests {

	private static final int[] STATUSES = { 200, 201, 202, 204, 206, 299, 302, 304, 400, 404, 408, 421, 429, 500, 502,
			503, 504, 599 };

	private static final String EVENT = "id: 1\ndata: a\n\n";

	static Stream<Arguments> requestsThatRunOnce() {
		return waysAndStatuses("order", "once");
	}

	static Stream<Arguments> requestsThatMayBeRepeated() {
		return waysAndStatuses("lookup", "resumable");
	}

	static IntStream statuses() {
		return IntStream.of(STATUSES);
	}

	private static Stream<Arguments> waysAndStatuses(String... ways) {
		return Stream.of(ways)
			.flatMap((way) -> Stream.of(false, true)
				.flatMap((relayed) -> statuses().mapToObj((status) -> Arguments.of(way, relayed, status))));
	}

	private static String unsigned(ScriptedServer.Received request, int status, String headers) {
		boolean hasBody = status != 204 && status != 304;
		return "HTTP/1.1 " + status + " Status\r\nX-Request: " + request.headers().get("X-Request") + "\r\n" + headers
				+ (hasBody ? "Content-Length: 6\r\n\r\nspoilt" : "\r\n");
	}

	private static ScriptedServer spoiling(int status, String headers) {
		return new ScriptedServer((request, connection) -> connection.send(unsigned(request, status, headers)));
	}

	private static void answer(ScriptedServer.Received request, ScriptedServer.Connection connection)
			throws IOException {
		connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
				+ "\r\nContent-Type: text/event-stream\r\nContent-Length: " + EVENT.length() + "\r\n\r\n" + EVENT);
	}

	private static ScriptedServer sound() {
		return new ScriptedServer(UnsignedAnswerTests::answer);
	}

	private static int received(ScriptedServer... servers) {
		return Stream.of(servers).mapToInt((server) -> server.received().size()).sum();
	}

	// Guards against an unsigned answer of any status reaching the caller of a stream,
	// and against one that counts as proof that the request has not run (MIXED, REFUSED,
	// TWICE).
	@ParameterizedTest
	@MethodSource("requestsThatRunOnce")
	void unsignedAnswerToARequestThatRunsOnceIsReportedAsRunUnknown(String way, boolean relayed, int status) {
		try (ScriptedServer one = spoiling(status, "");
				ScriptedServer two = spoiling(status, "");
				TestGateway direct = new TestGateway(one, two);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), one, two)) {
			TestGateway.Answer answer = (relayed ? cutOff : direct).send("/" + way + "/x", "r1", "body");
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.body()).contains("\"run\":\"unknown\"");
			assertThat(received(one, two)).as("runs").isEqualTo(1);
		}
	}

	// Guards against an unsigned answer to a request that another server can still serve.
	@ParameterizedTest
	@MethodSource("requestsThatMayBeRepeated")
	void repeatableRequestIsServedByAnotherServerAfterAnUnsignedAnswer(String way, boolean relayed, int status) {
		try (ScriptedServer one = spoiling(status, "");
				ScriptedServer two = sound();
				TestGateway direct = new TestGateway(one, two);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), one, two)) {
			for (int count = 0; count < 4; count++) {
				TestGateway.Answer answer = (relayed ? cutOff : direct).send("/" + way + "/x", "r" + count, "body");
				assertThat(answer.status()).isEqualTo(200);
				assertThat(answer.body()).isEqualTo(EVENT);
			}
			assertThat(one.received()).isNotEmpty();
		}
	}

	@ParameterizedTest
	@MethodSource("statuses")
	void unsignedAnswerToATakenUpStreamIsNotDelivered(int status) {
		try (ScriptedServer one = spoiling(status, "");
				ScriptedServer two = spoiling(status, "");
				TestGateway gateway = new TestGateway(one, two)) {
			TestGateway.Answer answer = gateway
				.request("/resumable/x", "r1", "body", Map.of("X-Resumes", "r0", "Last-Event-ID", "2"))
				.block();
			assertThat(answer.status()).isEqualTo(502);
			assertThat(answer.body()).contains("\"run\":\"unknown\"");
			assertThat(received(one, two)).isEqualTo(2);
		}
	}

	@ParameterizedTest
	@MethodSource("statuses")
	void streamDoesNotGoOnWithAnUnsignedAnswer(int status) {
		ScriptedServer.Script script = (request, connection) -> {
			if (request.headers().containsKey("Last-Event-ID")) {
				connection.send(unsigned(request, status, ""));
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

	// Guards against an unsigned answer ending the race of two copies.
	@ParameterizedTest
	@ValueSource(strings = { "lookup", "resumable" })
	void unsignedAnswerDoesNotWinTheRaceOfTwoCopies(String way) {
		AtomicInteger copies = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			if (request.headers().get("X-Request").startsWith("w")) {
				answer(request, connection);
			}
			else if (copies.getAndIncrement() == 0) {
				Thread.sleep(250);
				answer(request, connection);
			}
			else {
				connection.send(unsigned(request, 404, ""));
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

	@ParameterizedTest
	@ValueSource(strings = { "order", "once" })
	void unsignedAnswerToHeadIsNotDelivered(String way) {
		try (ScriptedServer server = new ScriptedServer(
				(request,
						connection) -> connection.send("HTTP/1.1 503 Full\r\nX-Request: "
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

	// Guards against a server that gets no more requests because of what an unsigned
	// answer says of its limits, its rest or its end.
	@ParameterizedTest
	@ValueSource(strings = { "order", "once" })
	void statementsOfAnUnsignedAnswerAreIgnored(String way) {
		AtomicBoolean spoils = new AtomicBoolean(true);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (spoils.get()) {
				connection
					.send(unsigned(request, 503, "X-Limit: 0\r\nX-Rest-Ms: 60000\r\nX-Leaving: 1\r\nX-Brittle: 0\r\n"));
			}
			else {
				answer(request, connection);
			}
		}); TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/" + way + "/x", "r1", "").status()).isEqualTo(502);
			spoils.set(false);
			assertThat(gateway.send("/" + way + "/x", "r2", "").status()).isEqualTo(200);
		}
	}

	// A server that does not have the expected instance id names its own, which the
	// answer of the expected one cannot.
	@ParameterizedTest
	@ValueSource(strings = { "order", "once" })
	void otherInstanceThatNamesItselfHasNotRunTheRequest(String way) {
		try (ScriptedServer replaced = spoiling(421, "X-Instance: i-9\r\n");
				ScriptedServer sound = sound();
				TestGateway gateway = new TestGateway(replaced, sound)) {
			for (int count = 0; count < 5; count++) {
				assertThat(gateway.send("/" + way + "/x", "r" + count, "").status()).isEqualTo(200);
			}
			assertThat(replaced.received()).as("a replaced instance is tried once").hasSizeLessThanOrEqualTo(1);
		}
	}

	@Test
	void addressedInstanceThatAnswersAsAnotherOneMayHaveRunTheRequest() {
		try (ScriptedServer server = spoiling(421, "X-Instance: i-0\r\n");
				TestGateway gateway = new TestGateway(server)) {
			assertThat(gateway.send("/order/x", "r1", "").status()).isEqualTo(502);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 202, 302, 404, 500, 502, 504 })
	void signedAnswerThatPromisesNothingIsDeliveredUnchanged(int status) {
		try (ScriptedServer server = spoiling(status, "X-Signature: s\r\n");
				TestGateway gateway = new TestGateway(server)) {
			for (String way : new String[] { "order", "once" }) {
				TestGateway.Answer answer = gateway.send("/" + way + "/x", "r-" + way, "body");
				assertThat(answer.status()).isEqualTo(status);
				assertThat(answer.body()).isEqualTo("spoilt");
			}
		}
	}

}
