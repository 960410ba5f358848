package io.fescuehold.runtime.http;

import java.time.Duration;
import java.util.Map;

import io.fescuehold.runtime.backend.BackendExchange;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendOptions;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.BackendRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against the eviction of a stalled connection that fails requests which still
 * wait for a connection, and against bytes that are sent although the check right before
 * sending failed.
 */
class BackendPoolTests {

	@Test
	void waitingRequestSurvivesTheEviction() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			if (request.target().equals("/silent")) {
				connection.hang();
			}
			connection.answer(200, "{}");
		})) {
			BackendPool pool = new BackendPool("127.0.0.1", server.port(),
					new BackendOptions(1, 10, 5_000, 1_000, 1_000, 8_192));
			Object generation = pool.generation();
			var stalled = BackendExchange.sendAndCollect(pool::pooled, BackendRequest.of("GET", "/silent"), 100)
				.subscribe();
			CallerDisconnectTests.await(() -> server.received().size() == 1);
			var waiting = BackendExchange.sendAndCollect(pool::pooled, BackendRequest.of("GET", "/"), 100).toFuture();
			Thread.sleep(100);
			assertThat(waiting).isNotDone();
			pool.evictIdle(generation);
			assertThat(waiting.get().status()).isEqualTo(200);
			Object second = pool.generation();
			pool.evictIdle(generation);
			assertThat(pool.generation()).as("evicted once for each generation").isSameAs(second);
			assertThat(BackendExchange.sendAndCollect(pool::pooled, BackendRequest.of("GET", "/"), 100)
				.block(Duration.ofSeconds(5))
				.status()).isEqualTo(200);
			stalled.dispose();
			pool.close();
		}
	}

	@Test
	void failedCheckBeforeSendingSendsNothing() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(200, "{}"))) {
			BackendPool pool = new BackendPool("127.0.0.1", server.port(), BackendOptions.DEFAULT);
			BackendRequest request = new BackendRequest("POST", "/", Map.of(), new byte[10], (kept) -> {
				throw new BackendFailure(BackendFailure.Kind.NOT_SENT, "too late", null);
			});
			assertThatExceptionOfType(BackendFailure.class)
				.isThrownBy(
						() -> BackendExchange.sendAndCollect(pool::fresh, request, 100).block(Duration.ofSeconds(5)))
				.satisfies((failure) -> assertThat(failure.kind()).isEqualTo(BackendFailure.Kind.NOT_SENT));
			CallerDisconnectTests.await(() -> server.connections() == 1);
			Thread.sleep(100);
			assertThat(server.received()).isEmpty();
		}
	}

}
