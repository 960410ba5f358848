package io.fescuehold.runtime.http;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import io.fescuehold.core.view.FleetView;
import io.netty.handler.ssl.util.InsecureTrustManagerFactory;
import org.junit.jupiter.api.Test;
import reactor.netty.http.Http11SslContextSpec;
import reactor.netty.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against errors of the caller API in normal operation, and against truncated
 * responses that look complete.
 */
class RouterServerTests {

	@Test
	void streamArrivesCompleteWithItsHeaders() throws Exception {
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
			CallerDisconnectTests.await(router.outstandingServerIds::isEmpty);
		}
	}

	@Test
	void nonStreamedResponseIsAssembledFromTheStream() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.beginStream("x1");
			connection.tokens(1, 300);
			connection.endStream(300);
		}); TestRouter router = new TestRouter(server)) {
			HttpResponse<String> response = router.send(router.chat(TestRouter.NON_STREAMED_CHAT));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).contains("\"content\":\"" + TestRouter.expectedText(300) + "\"")
				.contains("\"finish_reason\":\"stop\"")
				.contains("\"total_tokens\":310")
				.contains("\"object\":\"chat.completion\"");
		}
	}

	@Test
	void serviceCallIsForwarded() throws Exception {
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

	// Guards against a call that may have run being reported as not run, because its
	// service is removed before the next attempt.
	@Test
	void callThatMayHaveRunIsReportedAsSuchAfterItsServiceWasRemoved() throws Exception {
		AtomicReference<TestRouter> configured = new AtomicReference<>();
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			configured.get().view = FleetView.EMPTY;
			connection.reset();
		}); TestRouter router = new TestRouter(server, server)) {
			configured.set(router);
			HttpResponse<String> response = router.send(router.request("/services/depot/parts/7"));
			assertThat(response.statusCode()).isEqualTo(502);
			assertThat(response.body()).contains("SERVER_FAILED").contains("\"run\":\"unknown\"");
			assertThat(server.received()).hasSize(1);
		}
	}

	@Test
	void largeServiceResponseOfUnknownSizeIsStreamed() throws Exception {
		String part = "x".repeat(60_000);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int i = 0; i < 50; i++) {
				connection.chunk(part);
			}
			if (request.target().contains("whole")) {
				connection.send("0\r\n\r\n");
			}
			else {
				connection.reset();
			}
		}); TestRouter router = new TestRouter(server)) {
			assertThat(router.send(router.request("/services/depot/whole")).body()).hasSize(50 * part.length());
			assertThatThrownBy(() -> router.send(router.request("/services/depot/cut")))
				.as("a cut response must not look complete")
				.isInstanceOf(IOException.class);
		}
	}

	@Test
	void callersMayUseTls() throws Exception {
		RouterOptions options = RouterOptions.of("127.0.0.1", 0)
			.withTls(new RouterOptions.Tls("src/test/resources/tls/certificate.pem", "src/test/resources/tls/key.pem"));
		try (TestRouter router = new TestRouter(options)) {
			String body = HttpClient.create()
				.secure((spec) -> spec.sslContext(Http11SslContextSpec.forClient()
					.configure((builder) -> builder.trustManager(InsecureTrustManagerFactory.INSTANCE))))
				.get()
				.uri("https://127.0.0.1:" + router.server().port() + "/healthz")
				.responseContent()
				.aggregate()
				.asString()
				.block(Duration.ofSeconds(5));
			assertThat(body).isEqualTo("{\"status\":\"ok\"}");
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
