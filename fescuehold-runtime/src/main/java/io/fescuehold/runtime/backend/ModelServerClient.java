package io.fescuehold.runtime.backend;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Speaks the protocol of model servers.
 */
public final class ModelServerClient {

	private static final String COMPLETIONS = "/v1/chat/completions";

	private static final Pattern STREAM_ID = Pattern.compile("[A-Za-z0-9._-]{1,200}");

	private static final int MAX_ERROR_BYTES = 65_536;

	private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(2);

	private ModelServerClient() {
	}

	/**
	 * Tells whether a stream id may be used in a path.
	 * @param streamId the id
	 * @return whether it consists of letters, digits, dots, underscores and hyphens
	 */
	public static boolean isStreamId(String streamId) {
		return STREAM_ID.matcher(streamId).matches() && !streamId.startsWith(".");
	}

	/**
	 * Starts a stream.
	 * @param pool the connections of the server
	 * @param headers the request headers
	 * @param body the request body, with {@code "stream": true}
	 * @return groups of parts as they arrive, beginning with the head; a status other
	 * than 200 arrives as {@link BackendFailure}
	 */
	public static Flux<List<StreamPart>> open(BackendPool pool, Map<String, String> headers, byte[] body) {
		return BackendExchange.send(pool::pooled, BackendRequest.json(COMPLETIONS, headers, body),
				ModelServerClient::stream);
	}

	/**
	 * Resumes a stream.
	 * @param pool the connections of the server
	 * @param streamId the stream
	 * @param from the last position received
	 * @return groups of parts as they arrive, beginning with the head
	 */
	public static Flux<List<StreamPart>> resume(BackendPool pool, String streamId, long from) {
		return BackendExchange.send(pool::pooled, BackendRequest.of("GET", "/v1/streams/" + streamId + "?from=" + from),
				ModelServerClient::stream);
	}

	/**
	 * Requests a response that is not streamed.
	 * @param pool the connections of the server
	 * @param headers the request headers
	 * @param body the request body
	 * @param maxBodyBytes the size of the response body at most
	 * @return the response, whatever its status
	 */
	public static Mono<BackendAnswer> complete(BackendPool pool, Map<String, String> headers, byte[] body,
			int maxBodyBytes) {
		return BackendExchange.sendWhole(pool::pooled, BackendRequest.json(COMPLETIONS, headers, body), maxBodyBytes);
	}

	/**
	 * Cancels a stream at its server. Failures are ignored, because the server drops a
	 * stream without a connection by itself after 30 s.
	 * @param pool the connections of the server
	 * @param streamId the stream
	 * @return completes once the server responded or the time for it passed
	 */
	public static Mono<Void> cancel(BackendPool pool, String streamId) {
		return command(pool, BackendRequest.of("DELETE", "/v1/streams/" + streamId));
	}

	/**
	 * Tells a server to import a chat's KV cache. Failures are ignored, because the
	 * server then computes the cache itself.
	 * @param pool the connections of the importing server
	 * @param chatId the chat
	 * @param host the IP address of the exporting server
	 * @param port the port of the exporting server
	 * @return completes once the server responded or the time for it passed
	 */
	public static Mono<Void> pullCache(BackendPool pool, String chatId, String host, int port) {
		byte[] json = JsonNodeFactory.instance.objectNode()
			.put("chatId", chatId)
			.put("host", host)
			.put("port", port)
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		return command(pool, BackendRequest.json("/kv/pull", Map.of(), json));
	}

	private static Mono<Void> command(BackendPool pool, BackendRequest request) {
		return BackendExchange.sendWhole(pool::pooled, request, MAX_ERROR_BYTES)
			.timeout(COMMAND_TIMEOUT)
			.onErrorComplete()
			.then();
	}

	private static Publisher<List<StreamPart>> stream(HttpClientResponse head, ByteBufFlux content) {
		if (head.status().code() != HttpResponseStatus.OK.code()) {
			return BackendExchange.collect(head, content, MAX_ERROR_BYTES)
				.flatMap((answer) -> Mono.error(new BackendFailure(answer)));
		}
		String streamId = head.responseHeaders().get("X-Stream-Id");
		StreamPart first = new StreamPart.Head((streamId != null && isStreamId(streamId)) ? streamId : null);
		SseDecoder decoder = new SseDecoder();
		return Flux.concat(Mono.just(List.of(first)), content.map(decoder::decode));
	}

}
