package io.fescuehold.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.fescuehold.runtime.admin.MetricsText;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Serves the metrics as text at {@code /metrics} and the state dump as JSON at
 * {@code /dump}, for operators.
 */
final class OperationsServer {

	private static final JsonMapper MAPPER = new JsonMapper();

	private final String address;

	private final int port;

	private final LoopResources loops;

	private final MetricRegistry metrics;

	private final OperatorHttp http;

	private final Supplier<Map<String, Object>> dump;

	OperationsServer(String address, int port, LoopResources loops, MetricRegistry metrics, OperatorHttp http,
			Supplier<Map<String, Object>> dump) {
		this.address = address;
		this.port = port;
		this.loops = loops;
		this.metrics = metrics;
		this.http = http;
		this.dump = dump;
	}

	void start() {
		this.http.bind(this.http.newServer()
			.host(this.address)
			.port(this.port)
			.runOn(this.loops, false)
			.route((routes) -> routes
				.get("/metrics", (request, response) -> respond(response, "text/plain", MetricsText.of(this.metrics)))
				.get("/dump", (request, response) -> respond(response, "application/json", json()))));
	}

	private String json() {
		try {
			return MAPPER.writeValueAsString(this.dump.get());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Failed to serialise the state dump as JSON", ex);
		}
	}

	private static Mono<Void> respond(HttpServerResponse response, String mediaType, String text) {
		return response.header("Content-Type", mediaType)
			.sendByteArray(Mono.just(text.getBytes(StandardCharsets.UTF_8)))
			.then();
	}

}
