package io.fescuehold.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.admin.MetricsText;
import io.fescuehold.runtime.http.Problems;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Serves the metrics as text at {@code /metrics}, the state dump as JSON at {@code /dump}
 * and the evacuations of failure domains at {@code /evacuations}, for operators.
 */
final class OperationsServer {

	private static final String JSON = "application/json";

	private static final JsonMapper MAPPER = new JsonMapper();

	private final String address;

	private final int port;

	private final LoopResources loops;

	private final MetricRegistry metrics;

	private final OperatorHttp http;

	private final Supplier<Map<String, Object>> dump;

	private final EvacuationOrders evacuations;

	OperationsServer(String address, int port, LoopResources loops, MetricRegistry metrics, OperatorHttp http,
			Supplier<Map<String, Object>> dump, EvacuationOrders evacuations) {
		this.address = address;
		this.port = port;
		this.loops = loops;
		this.metrics = metrics;
		this.http = http;
		this.dump = dump;
		this.evacuations = evacuations;
	}

	void start() {
		this.http.bind(this.http.newServer()
			.host(this.address)
			.port(this.port)
			.runOn(this.loops, false)
			.route((routes) -> routes
				.get("/metrics", (request, response) -> respond(response, "text/plain", MetricsText.of(this.metrics)))
				.get("/dump", (request, response) -> respond(response, JSON, json(this.dump.get())))
				.get("/evacuations", (request, response) -> respondStatus(response, this.evacuations.status()))
				.post("/evacuations/{domain}/begin", (request, response) -> order(request, response, true))
				.post("/evacuations/{domain}/end", (request, response) -> order(request, response, false))));
	}

	private Mono<Void> order(HttpServerRequest request, HttpServerResponse response, boolean begins) {
		return respondStatus(response,
				Mono.fromSupplier(() -> QueryStringDecoder.decodeComponent(request.param("domain")))
					.onErrorMap(IllegalArgumentException.class,
							(error) -> new FescueholdException(ErrorCode.BAD_REQUEST, "The failure domain",
									error.getMessage(), "escape it for a path"))
					.flatMap((domain) -> this.evacuations.order(domain, begins, Set.of())));
	}

	private static Mono<Void> respondStatus(HttpServerResponse response, Mono<EvacuationOrders.Status> status) {
		return status.flatMap((known) -> respond(response, JSON, json(known)))
			.onErrorResume(FescueholdException.class, (refusal) -> respond(response.status(refusal.code().httpStatus()),
					Problems.MEDIA_TYPE, new String(Problems.json(refusal), StandardCharsets.UTF_8)));
	}

	private static String json(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Failed to serialise the response as JSON", ex);
		}
	}

	private static Mono<Void> respond(HttpServerResponse response, String mediaType, String text) {
		return response.header("Content-Type", mediaType)
			.sendByteArray(Mono.just(text.getBytes(StandardCharsets.UTF_8)))
			.then();
	}

}
