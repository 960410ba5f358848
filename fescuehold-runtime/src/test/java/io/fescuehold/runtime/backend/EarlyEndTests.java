package io.fescuehold.runtime.backend;

import java.time.Duration;
import java.util.Map;

import io.fescuehold.runtime.http.EarlyServer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that a response without a length that ends while its request is still being sent
 * does not count as complete: the reset of a connection may be reported to the writer
 * alone, and the reader then sees an orderly end.
 */
@Timeout(30)
class EarlyEndTests {

	/** More than the socket buffers of both sides hold, so that the upload stays due. */
	private static final int UPLOAD_BYTES = 32 << 20;

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void responseThatEndsWhileTheRequestIsSentIsLost(boolean reset) {
		LoopResources loops = LoopResources.create("early-end", 1, true);
		try (EarlyServer server = new EarlyServer(reset, 50)) {
			BackendPool pool = new BackendPool("127.0.0.1", server.port(), BackendOptions.DEFAULT, loops);
			BackendRequest request = new BackendRequest("POST", "/", Map.of(), new byte[UPLOAD_BYTES], (kept) -> {
			});
			Mono<BackendResponse> exchange = BackendExchange.sendAndCollect(pool::pooled, request, 1 << 20);
			assertThatThrownBy(() -> exchange.block(Duration.ofSeconds(10))).isInstanceOfSatisfying(
					BackendFailure.class, (failure) -> assertThat(failure.kind()).isEqualTo(BackendFailure.Kind.LOST));
			pool.close();
		}
		finally {
			loops.disposeLater(Duration.ZERO, Duration.ofSeconds(2)).block();
		}
	}

}
