package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Stream;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what callers get from servers that repeat refusals, cut answers and break off
 * streams, on each way by which an answer reaches a caller. The servers count what they
 * run.
 */
@Timeout(120)
class FaultyAnswerTests {

	private static final int REQUESTS = 60;

	private static final int EVENTS = 5;

	/** The status codes that promise that the request has not run and never will. */
	private static final List<Integer> NOT_RUN = List.of(408, 421, 429, 503);

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Set<String> connections = ConcurrentHashMap.newKeySet();

	private final Queue<String> violations = new ConcurrentLinkedQueue<>();

	private SplittableRandom random;

	private boolean cuts;

	static Stream<Arguments> waysAndSeeds() {
		return Stream.of("lookup", "order", "once", "resumable", "takeUp")
			.flatMap((way) -> Stream.of(false, true)
				.flatMap((relayed) -> Stream.of(1, 2, 3).map((seed) -> Arguments.of(way, relayed, seed))));
	}

	// Guards against a refusal that a server repeats, with or without its id, being taken
	// for the answer to a request that runs.
	@ParameterizedTest
	@MethodSource("waysAndSeeds")
	void repeatedRefusalIsNotTakenForAnAnswer(String way, boolean relayed, int seed) {
		play(way, relayed, seed, false);
	}

	// Guards against an answer that breaks off within its head, its body or its chunks
	// being passed on as a whole one.
	@ParameterizedTest
	@MethodSource("waysAndSeeds")
	void cutAnswerIsNotPassedOnAsAWholeOne(String way, boolean relayed, int seed) {
		play(way, relayed, seed, true);
	}

	private void play(String way, boolean relayed, int seed, boolean cutting) {
		this.random = new SplittableRandom(seed);
		this.cuts = cutting;
		try (ScriptedServer one = server(1);
				ScriptedServer two = server(2);
				TestGateway direct = new TestGateway(1_000, one, two);
				TestGateway cutOff = TestGateway.cutOff(direct.server().relayPort(), one, two)) {
			int served = 0;
			for (int count = 1; count <= REQUESTS; count++) {
				served += check(way, "r" + count, relayed ? cutOff : direct) ? 1 : 0;
			}
			assertThat(this.violations).isEmpty();
			assertThat(served).as("requests served").isGreaterThan(REQUESTS / 10);
		}
	}

	private boolean check(String way, String id, TestGateway gateway) {
		boolean takeUp = way.equals("takeUp");
		TestGateway.Answer answer = gateway
			.request("/" + (takeUp ? "resumable" : way) + "/x", id, "body",
					takeUp ? Map.of("X-Resumes", "r0", "Last-Event-ID", "2") : Map.of())
			.block();
		int ran = this.runs.getOrDefault(id, 0);
		boolean once = way.equals("order") || way.equals("once");
		if (answer.status() == 200 && !answer.brokenOff()) {
			expect(answer.body().equals(body(way, id, takeUp ? 2 : 0)), id + " got as whole: " + answer.body());
		}
		if (once) {
			expect(ran <= 1, id + " ran " + ran + " times");
			expect(!NOT_RUN.contains(answer.status()) || ran == 0,
					id + " ran and was answered with " + answer.status() + ": " + answer.body());
		}
		return answer.status() == 200 && !answer.brokenOff();
	}

	private void expect(boolean holds, String violation) {
		if (!holds) {
			this.violations.add(violation);
		}
	}

	private static String body(String way, String id, int after) {
		if (way.equals("lookup") || way.equals("order")) {
			return "body of " + id;
		}
		StringBuilder events = new StringBuilder();
		for (int position = after + 1; position <= EVENTS; position++) {
			events.append("id: ").append(position).append("\ndata: piece ").append(position).append("\n\n");
		}
		return events.toString();
	}

	private synchronized int draw(int bound) {
		return this.random.nextInt(bound);
	}

	private ScriptedServer server(int number) {
		return new ScriptedServer(
				(request, connection) -> serve(request, connection, number + "-" + request.connection()));
	}

	private void serve(ScriptedServer.Received request, ScriptedServer.Connection connection, String connectionId)
			throws Exception {
		String id = request.headers().get("X-Request");
		boolean kept = !this.connections.add(connectionId);
		if (draw(4) == 0) {
			connection.send(refusal(id));
			return;
		}
		if (!this.cuts && kept && draw(2) == 0) {
			connection.send(refusal((draw(2) == 0) ? "r0" : null));
		}
		this.runs.merge(id, 1, Integer::sum);
		String answer = answer(request, id);
		if (this.cuts && draw(2) == 0) {
			connection.send(answer.substring(0, draw(answer.length())));
			Thread.sleep(draw(3));
			if (draw(2) == 0) {
				connection.reset();
			}
			throw new IOException("the connection ends");
		}
		connection.send(answer);
		if (!this.cuts) {
			repeat(connection);
		}
	}

	// A repeat arrives with the answer, in two parts, or as the next request is sent.
	private void repeat(ScriptedServer.Connection connection) throws Exception {
		String repeated = refusal((draw(2) == 0) ? "r0" : null);
		switch (draw(4)) {
			case 0 -> connection.send(repeated);
			case 1 -> connection.send(repeated.substring(0, draw(repeated.length())));
			case 2 -> {
				Thread.sleep(0, draw(900_000));
				connection.send(repeated);
			}
			default -> {
			}
		}
	}

	private static String refusal(String id) {
		return "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + ((id != null) ? "X-Request: " + id + "\r\n" : "")
				+ "Content-Length: 0\r\n\r\n";
	}

	private String answer(ScriptedServer.Received request, String id) {
		String way = request.target().split("/")[1];
		String body = body(way, id, Integer.parseInt(request.headers().getOrDefault("Last-Event-ID", "0")));
		boolean chunked = draw(2) == 0;
		String head = "HTTP/1.1 200 OK\r\n"
				+ (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length())
				+ "\r\nX-Signature: s\r\nX-Request: " + id + "\r\nContent-Type: text/event-stream\r\n\r\n";
		int half = body.length() / 2;
		return head + (chunked ? chunk(body.substring(0, half)) + chunk(body.substring(half)) + "0\r\n\r\n" : body);
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

}
