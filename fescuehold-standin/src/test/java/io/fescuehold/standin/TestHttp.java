package io.fescuehold.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Sends HTTP requests to stand-ins.
 */
public final class TestHttp {

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private TestHttp() {
	}

	/**
	 * Sends a request over a connection of its own.
	 * @param method the HTTP method
	 * @param port the port
	 * @param path the path with its query
	 * @param body the body
	 * @param headers names and values in turn
	 * @return the response
	 * @throws UncheckedIOException if the connection fails
	 */
	public static HttpResponse<String> send(String method, int port, String path, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(LIMIT)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		if (headers.length > 0) {
			request.headers(headers);
		}
		try (HttpClient client = HttpClient.newHttpClient()) {
			return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
