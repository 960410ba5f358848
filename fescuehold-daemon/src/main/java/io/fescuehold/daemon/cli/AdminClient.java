package io.fescuehold.daemon.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.ssl.SslContextBuilder;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * HTTP client of the administration API of one daemon.
 */
final class AdminClient {

	private final HttpClient http;

	private final Duration timeout;

	private final String endpoint;

	/**
	 * Creates a client.
	 * @param endpoint the base URL
	 * @param token the bearer token, or null
	 * @param caFile the PEM file of the certificate authority, or null
	 * @param timeoutMs the timeout of a request in milliseconds
	 */
	AdminClient(String endpoint, String token, Path caFile, int timeoutMs) {
		HttpClient client = HttpClient.create().baseUrl(endpoint).headers((headers) -> {
			headers.set("Content-Type", "application/json");
			if (token != null) {
				headers.set("Authorization", "Bearer " + token);
			}
		});
		this.http = (caFile != null) ? client.secure((spec) -> spec.sslContext(sslContext(caFile))) : client;
		this.timeout = Duration.ofMillis(timeoutMs);
		this.endpoint = endpoint;
	}

	private static io.netty.handler.ssl.SslContext sslContext(Path caFile) {
		try {
			return SslContextBuilder.forClient().trustManager(caFile.toFile()).build();
		}
		catch (javax.net.ssl.SSLException ex) {
			throw new IllegalArgumentException(caFile + " holds no usable certificate; name a PEM file", ex);
		}
	}

	/**
	 * Sends a GET request.
	 * @param path the path below the endpoint
	 * @return the reply
	 */
	Reply get(String path) {
		return send(HttpMethod.GET, path, "");
	}

	/**
	 * Sends a POST request.
	 * @param path the path below the endpoint
	 * @param body the body
	 * @return the reply
	 */
	Reply post(String path, String body) {
		return send(HttpMethod.POST, path, body);
	}

	private Reply send(HttpMethod method, String path, String body) {
		return this.http.request(method)
			.uri(path)
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.getBytes(StandardCharsets.UTF_8))))
			.responseSingle((response, content) -> content.asString(StandardCharsets.UTF_8)
				.defaultIfEmpty("")
				.map((text) -> new Reply(response.status().code(), text)))
			.timeout(this.timeout)
			.onErrorResume((ex) -> Mono.just(new Reply(Reply.UNREACHABLE,
					"no answer from " + this.endpoint + " (" + ex.getMessage()
							+ "); a change may have been accepted, send the same change again")))
			.block();
	}

	/**
	 * The reply of a daemon.
	 *
	 * @param status the HTTP status, or {@link #UNREACHABLE}
	 * @param body the body, or an error message if there was no reply
	 */
	record Reply(int status, String body) {

		/** The status used when there was no reply. */
		static final int UNREACHABLE = 0;

		private static final int FIRST_SUCCESS = 200;

		private static final int FIRST_REDIRECT = 300;

		/**
		 * Returns whether the request succeeded.
		 * @return whether the status is 2xx
		 */
		boolean isSuccess() {
			return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
		}

	}

}
