package io.fescuehold.standin.weights;

import java.util.Map;

import io.fescuehold.standin.http.JsonHttp;
import io.fescuehold.standin.http.LoopbackServer;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A weight store that serves a limited number of requests per second and answers further
 * requests with status 429 and {@code Retry-After}.
 */
public final class WeightStore implements AutoCloseable {

	private static final String WEIGHTS_PATH = "/weights/";

	private static final double NANOS_PER_S = 1e9;

	private final LoopbackServer server;

	private final double requestsPerS;

	private double tokens = 1;

	private long refilledAtNanos = System.nanoTime();

	private WeightStore(int port, double requestsPerS) {
		if (requestsPerS <= 0) {
			throw new IllegalArgumentException("requestsPerS is " + requestsPerS + "; use a value above 0");
		}
		this.requestsPerS = requestsPerS;
		this.server = LoopbackServer.bind(port, this::handle);
	}

	/**
	 * Starts a weight store.
	 * @param port the port, or 0 for any free port
	 * @param requestsPerS the requests served per second; bursts of up to one second's
	 * worth are served at once
	 * @return the running weight store
	 */
	public static WeightStore start(int port, double requestsPerS) {
		return new WeightStore(port, requestsPerS);
	}

	/**
	 * Returns the port of the weight store.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	private synchronized boolean tryAcquire() {
		long now = System.nanoTime();
		double refilled = this.tokens + (now - this.refilledAtNanos) / NANOS_PER_S * this.requestsPerS;
		this.tokens = Math.min(Math.max(1, this.requestsPerS), refilled);
		this.refilledAtNanos = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String path = JsonHttp.path(request);
		if (!"GET".equals(request.method().name()) || !path.startsWith(WEIGHTS_PATH)) {
			return JsonHttp.sendError(response, 404, "Nothing is served at " + request.method() + " " + path);
		}
		if (!tryAcquire()) {
			long seconds = Math.max(1, (long) Math.ceil(1 / this.requestsPerS));
			response.header("Retry-After", Long.toString(seconds));
			return JsonHttp.sendError(response, 429,
					"The weight store has reached its rate limit; come back after Retry-After");
		}
		return JsonHttp.send(response, 200, Map.of("model", path.substring(WEIGHTS_PATH.length())));
	}

	@Override
	public void close() {
		this.server.close();
	}

}
