package io.fescuehold.standin.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * JSON bodies and connection faults on Reactor Netty requests and responses.
 */
public final class JsonHttp {

	/** The mapper of all stand-ins; unknown properties are rejected. */
	public static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private JsonHttp() {
	}

	/**
	 * Sends a JSON response.
	 * @param response the response
	 * @param status the HTTP status
	 * @param body the value to serialise
	 * @return completes when the response is sent
	 */
	public static Mono<Void> send(HttpServerResponse response, int status, Object body) {
		return response.status(status)
			.header("Content-Type", "application/json")
			.sendByteArray(Mono.just(print(body)))
			.then();
	}

	/**
	 * Sends an error response with a message.
	 * @param response the response
	 * @param status the HTTP status
	 * @param message what was rejected and how to correct the request
	 * @return completes when the response is sent
	 */
	public static Mono<Void> sendError(HttpServerResponse response, int status, String message) {
		return send(response, status, Map.of("error", Map.of("message", message)));
	}

	/**
	 * Reads the complete request body.
	 * @param request the request
	 * @return the body, empty if there is none
	 */
	public static Mono<byte[]> body(HttpServerRequest request) {
		return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
	}

	/**
	 * Reads the request body as a record. An invalid body is answered with status 400.
	 * @param <T> the type
	 * @param request the request
	 * @param response the response
	 * @param type the type to read
	 * @param handler answers the request
	 * @return completes when the response is sent
	 */
	public static <T> Mono<Void> read(HttpServerRequest request, HttpServerResponse response, Class<T> type,
			java.util.function.Function<T, ? extends Publisher<Void>> handler) {
		return body(request).flatMap((bytes) -> {
			T value;
			try {
				value = MAPPER.readValue((bytes.length == 0) ? "{}".getBytes(StandardCharsets.UTF_8) : bytes, type);
			}
			catch (java.io.IOException | IllegalArgumentException ex) {
				return sendError(response, 400, "The body is not valid: " + ex.getMessage());
			}
			return Mono.from(handler.apply(value));
		});
	}

	/**
	 * Serialises a value to JSON.
	 * @param value the value
	 * @return the JSON text in UTF-8
	 * @throws IllegalArgumentException if the value cannot be serialised
	 */
	public static byte[] print(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("The value cannot be serialised to JSON", ex);
		}
	}

	/**
	 * Returns a query parameter.
	 * @param request the request
	 * @param name the parameter
	 * @param defaultValue the value if the parameter is missing
	 * @return the first value
	 */
	public static String query(HttpServerRequest request, String name, String defaultValue) {
		java.util.List<String> values = new QueryStringDecoder(request.uri()).parameters().get(name);
		return (values != null) ? values.getFirst() : defaultValue;
	}

	/**
	 * Returns the path without the query.
	 * @param request the request
	 * @return the path with its leading slash
	 */
	public static String path(HttpServerRequest request) {
		return new QueryStringDecoder(request.uri()).path();
	}

	/**
	 * Resets the connection without a response.
	 * @param response the response of the connection
	 * @return never completes normally
	 */
	public static Mono<Void> reset(HttpServerResponse response) {
		return Mono
			.<Void>fromRunnable(() -> response.withConnection((connection) -> ChannelReset.reset(connection.channel())))
			.then(Mono.never());
	}

}
