package io.fescuehold.runtime.control.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.core.placement.CacheEvent;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Reads load reports and cache events of model servers over HTTP.
 */
public final class ModelServerPoller {

	private static final int OK = 200;

	private static final int MAX_BODY_BYTES = 1_048_576;

	private final HttpClient client;

	private final Duration timeout;

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Creates a poller.
	 * @param client the HTTP client
	 * @param timeout the maximum time to wait for a response
	 */
	public ModelServerPoller(HttpClient client, Duration timeout) {
		this.client = client;
		this.timeout = timeout;
	}

	/**
	 * Reads the load of a server.
	 * @param spec the server
	 * @return the report, or an error if the server does not respond in time or the
	 * response is not valid
	 */
	public Mono<Report> load(ModelServerSpec spec) {
		return get(spec, "/load").map((json) -> new Report(required(json, "outstandingTokens"),
				(int) required(json, "runningRequests"), required(json, "reportedAtMs")));
	}

	/**
	 * Reads the cache events of a server.
	 * @param serverId the server
	 * @param spec the configuration entry with the server's address
	 * @param after the sequence number of the last event seen
	 * @return the events, or an error if the server does not respond in time or the
	 * response is not valid
	 */
	public Mono<Events> cacheEvents(String serverId, ModelServerSpec spec, long after) {
		return get(spec, "/cache/events?after=" + after).map((json) -> {
			List<CacheEvent> events = new ArrayList<>();
			for (JsonNode event : json.path("events")) {
				events.add(new CacheEvent(serverId, event.path("chatId").asText(), required(event, "tokens")));
			}
			return new Events(events, required(json, "lastSequence"));
		});
	}

	private Mono<JsonNode> get(ModelServerSpec spec, String path) {
		return this.client.get()
			.uri("http://" + spec.host() + ":" + spec.port() + path)
			.response((response, content) -> {
				if (response.status().code() != OK) {
					return Mono.error(new IllegalStateException(
							path + " of " + spec.host() + " responded with status " + response.status().code()));
				}
				return content.asByteArray().reduceWith(ByteArrayOutputStream::new, ModelServerPoller::append);
			})
			.next()
			.map((body) -> parse(body.toByteArray()))
			.timeout(this.timeout);
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] part) {
		if (body.size() + part.length > MAX_BODY_BYTES) {
			throw new IllegalStateException("The response of a model server exceeds " + MAX_BODY_BYTES + " bytes");
		}
		body.writeBytes(part);
		return body;
	}

	private JsonNode parse(byte[] body) {
		try {
			return this.mapper.readTree(body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long required(JsonNode json, String field) {
		JsonNode value = json.get(field);
		if (value == null || !value.canConvertToLong()) {
			throw new IllegalStateException("The response of a model server has no integer field \"" + field + "\"");
		}
		return value.asLong();
	}

	/**
	 * A load report of a model server.
	 *
	 * @param outstandingTokens the tokens that the server has yet to prefill and generate
	 * @param runningRequests the number of requests in the server's running batch
	 * @param reportedAtMs the time of the report by the server's clock, in milliseconds
	 */
	public record Report(long outstandingTokens, int runningRequests, long reportedAtMs) {

	}

	/**
	 * Cache events of a model server.
	 *
	 * @param events the events
	 * @param lastSequence the sequence number of the newest event of the server
	 */
	public record Events(List<CacheEvent> events, long lastSequence) {

	}

}
