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
 * Client for the HTTP API of model servers.
 */
public final class ModelServerClient {

	private static final String COMPLETIONS_PATH = "/v1/chat/completions";

	private static final Pattern STREAM_ID = Pattern.compile("[A-Za-z0-9._-]{1,200}");

	private static final int MAX_ERROR_BYTES = 65_536;

	private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(2);

	private ModelServerClient() {
	}

	/**
	 * Returns whether a stream id may be used in a path.
	 * @param streamId the id
	 * @return whether it has 1 to 200 letters, digits, dots, underscores and hyphens and
	 * does not begin with a dot
	 */
	public static boolean isStreamId(String streamId) {
		return STREAM_ID.matcher(streamId).matches() && !streamId.startsWith(".");
	}

	/**
	 * Starts a stream.
	 * @param pool the connections of the server
	 * @param headers the request headers
	 * @param body the request body, with {@code "stream": true}
	 * @return groups of parts as they arrive, beginning with the head; errors with
	 * {@link BackendFailure} if the status is not 200
	 */
	public static Flux<List<StreamPart>> open(BackendPool pool, Map<String, String> headers, byte[] body) {
		return BackendExchange.send(pool::pooled, BackendRequest.json(COMPLETIONS_PATH, headers, body),
				ModelServerClient::decodeStream);
	}

	/**
	 * Resumes a stream.
	 * @param pool the connections of the server
	 * @param streamId the id of the stream
	 * @param from the last position received
	 * @return groups of parts as they arrive, beginning with the head; errors with
	 * {@link BackendFailure} if the status is not 200
	 */
	public static Flux<List<StreamPart>> resume(BackendPool pool, String streamId, long from) {
		return BackendExchange.send(pool::pooled, BackendRequest.of("GET", "/v1/streams/" + streamId + "?from=" + from),
				ModelServerClient::decodeStream);
	}

	/**
	 * Requests a non-streaming completion.
	 * @param pool the connections of the server
	 * @param headers the request headers
	 * @param body the request body
	 * @param maxBodyBytes the maximum size of the response body in bytes
	 * @return the response, whatever its status
	 */
	public static Mono<BackendResponse> complete(BackendPool pool, Map<String, String> headers, byte[] body,
			int maxBodyBytes) {
		return BackendExchange.sendAndCollect(pool::pooled, BackendRequest.json(COMPLETIONS_PATH, headers, body),
				maxBodyBytes);
	}

	/**
	 * Cancels a stream on its server. Failures are ignored, because the server discards a
	 * stream without a connection after 30 s.
	 * @param pool the connections of the server
	 * @param streamId the id of the stream
	 * @return completes when the server has responded, the request failed or it timed out
	 */
	public static Mono<Void> cancel(BackendPool pool, String streamId) {
		return sendIgnoringFailure(pool, BackendRequest.of("DELETE", "/v1/streams/" + streamId));
	}

	/**
	 * Instructs a server to import a chat's KV cache. Failures are ignored, because the
	 * server then computes the cache itself.
	 * @param pool the connections of the importing server
	 * @param chatId the id of the chat
	 * @param host the IP address of the exporting server
	 * @param port the port of the exporting server
	 * @return completes when the server has responded, the request failed or it timed out
	 */
	public static Mono<Void> pullCache(BackendPool pool, String chatId, String host, int port) {
		byte[] json = JsonNodeFactory.instance.objectNode()
			.put("chatId", chatId)
			.put("host", host)
			.put("port", port)
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		return sendIgnoringFailure(pool, BackendRequest.json("/kv/pull", Map.of(), json));
	}

	private static Mono<Void> sendIgnoringFailure(BackendPool pool, BackendRequest request) {
		return BackendExchange.sendAndCollect(pool::pooled, request, MAX_ERROR_BYTES)
			.timeout(COMMAND_TIMEOUT)
			.onErrorComplete()
			.then();
	}

	private static Publisher<List<StreamPart>> decodeStream(HttpClientResponse head, ByteBufFlux content) {
		if (head.status().code() != HttpResponseStatus.OK.code()) {
			return BackendExchange.collect(head, content, MAX_ERROR_BYTES)
				.flatMap((response) -> Mono.error(new BackendFailure(response)));
		}
		String streamId = head.responseHeaders().get("X-Stream-Id");
		StreamPart first = new StreamPart.Head((streamId != null && isStreamId(streamId)) ? streamId : null);
		SseDecoder decoder = new SseDecoder();
		return Flux.concat(Mono.just(List.of(first)), content.map(decoder::decode));
	}

}
