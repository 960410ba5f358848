package io.fescuehold.standin.modelserver;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;

import io.fescuehold.standin.http.JsonHttp;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Moves the cached tokens of a chat between model servers.
 */
final class KvTransfer {

	private static final Duration PULL_TIMEOUT = Duration.ofSeconds(5);

	private static final int BAD_GATEWAY = 502;

	private static final int NOT_FOUND = 404;

	private final PrefixCache cache;

	KvTransfer(PrefixCache cache) {
		this.cache = cache;
	}

	Mono<Void> export(HttpServerRequest request, HttpServerResponse response) {
		String chatId = JsonHttp.query(request, "chatId", "");
		int[] tokens = this.cache.export(chatId);
		if (tokens == null) {
			return JsonHttp.sendError(response, NOT_FOUND, "Chat " + chatId + " is not in the cache");
		}
		return JsonHttp.send(response, 200, new Exported(chatId, tokens));
	}

	Mono<Void> pull(HttpServerRequest request, HttpServerResponse response) {
		return JsonHttp.read(request, response, PullBody.class,
				(body) -> fetch(body).doOnNext((exported) -> this.cache.put(body.chatId(), exported.tokens()))
					.flatMap((exported) -> JsonHttp.send(response, 200,
							Map.of("chatId", body.chatId(), "tokens", exported.tokens().length)))
					.onErrorResume((ex) -> JsonHttp.sendError(response, BAD_GATEWAY,
							"The cache could not be pulled: " + ex.getMessage())));
	}

	private static Mono<Exported> fetch(PullBody body) {
		String chatId = java.net.URLEncoder.encode(body.chatId(), java.nio.charset.StandardCharsets.UTF_8);
		return HttpClient.newConnection()
			.responseTimeout(PULL_TIMEOUT)
			.get()
			.uri("http://" + body.host() + ":" + body.port() + "/kv/export?chatId=" + chatId)
			.responseSingle((answer, content) -> content.asByteArray().map((bytes) -> {
				if (answer.status().code() != 200) {
					throw new IllegalStateException("the other server responded with status " + answer.status());
				}
				return parse(bytes);
			}));
	}

	private static Exported parse(byte[] bytes) {
		try {
			return JsonHttp.MAPPER.readValue(bytes, Exported.class);
		}
		catch (IOException ex) {
			throw new java.io.UncheckedIOException(ex);
		}
	}

	/**
	 * The cached tokens of a chat.
	 *
	 * @param chatId the chat
	 * @param tokens the hashes of the tokens
	 */
	record Exported(String chatId, int[] tokens) {
	}

	/**
	 * Body of a request to pull a chat from another server.
	 *
	 * @param chatId the chat
	 * @param host the other server's address
	 * @param port the other server's port
	 */
	record PullBody(String chatId, String host, int port) {

		PullBody {
			if (chatId == null || host == null || port < 1) {
				throw new IllegalArgumentException("chatId, host and port are needed");
			}
		}

	}

}
