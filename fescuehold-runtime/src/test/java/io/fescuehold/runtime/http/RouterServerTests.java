package io.fescuehold.runtime.http;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the paths of the caller API while nothing fails.
 */
class RouterServerTests {

	@Test
	void streamArrivesWholeWithItsHeaders() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			connection.tokens(1, 5);
			connection.endStream(5);
		}); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.CHAT).header("Fescuehold-Chat", "c1"));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(TestRouter.positions(response.body())).startsWith(1, 2, 3, 4, 5);
			assertThat(TestRouter.text(response.body())).isEqualTo(TestRouter.expectedText(5));
			assertThat(response.body()).endsWith("data: [DONE]\n\n");
			assertThat(response.headers().firstValue("Fescuehold-Stream")).contains("s0;x1;r1");
			assertThat(response.headers().firstValue("Fescuehold-Chat-Hint").orElse("")).startsWith("s0;");
			assertThat(server.received().getFirst().headers()).containsEntry("X-Chat-Id", "c1")
				.containsKeys("X-Deadline-Ms", "X-Request-Id");
			assertThat(server.received().getFirst().body()).contains("\"priority\":5");
			assertThat(router.outstanding).isEmpty();
		}
	}

	@Test
	void wholeAnswerIsPutTogetherFromTheStream() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			connection.tokens(1, 300);
			connection.endStream(300);
		}); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.WHOLE));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).contains("\"content\":\"" + TestRouter.expectedText(300) + "\"")
				.contains("\"finish_reason\":\"stop\"")
				.contains("\"total_tokens\":310")
				.contains("\"object\":\"chat.completion\"");
		}
	}

	@Test
	void serviceCallPassesThrough() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(201, "{\"a\":1}"));
				TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router
				.send(router.request("/services/depot/parts/7?x=%20y").PUT(HttpRequest.BodyPublishers.ofString("b")));
			assertThat(response.statusCode()).isEqualTo(201);
			assertThat(response.body()).isEqualTo("{\"a\":1}");
			assertThat(server.received().getFirst().target()).isEqualTo("/parts/7?x=%20y");
			assertThat(server.received().getFirst().body()).isEqualTo("b");
		}
	}

	@Test
	void entryAndHealthRespond() throws Exception {
		try (TestRouter router = new TestRouter()) {
			assertThat(router.send(router.request("/fescuehold/v1/entry?chat=c")).body())
				.isEqualTo("{\"addresses\":[\"127.0.0.1:1\"],\"validForMs\":30000}");
			assertThat(router.send(router.request("/healthz")).statusCode()).isEqualTo(200);
		}
	}

}
