package io.fescuehold.runtime.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * The requests in flight.
 */
final class InFlight {

	private static final int MAX_DUMPED = 100;

	private final Map<String, String> requests = new ConcurrentHashMap<>();

	private final Sinks.Empty<Void> empty = Sinks.empty();

	private volatile boolean draining;

	/**
	 * Begins a request.
	 * @param requestId the request
	 * @param line the method and path, for the dump
	 */
	void begin(String requestId, String line) {
		this.requests.put(requestId, line);
	}

	/**
	 * Ends a request.
	 * @param requestId the request
	 */
	void end(String requestId) {
		this.requests.remove(requestId);
		completeIfEmpty();
	}

	/**
	 * Begins the drain.
	 * @return completes once no request is in flight
	 */
	Mono<Void> drain() {
		this.draining = true;
		completeIfEmpty();
		return this.empty.asMono();
	}

	private void completeIfEmpty() {
		if (this.draining && this.requests.isEmpty()) {
			this.empty.tryEmitEmpty();
		}
	}

	/**
	 * Tells whether the drain has begun.
	 * @return whether new requests are refused
	 */
	boolean isDraining() {
		return this.draining;
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number
	 */
	int size() {
		return this.requests.size();
	}

	/**
	 * Returns some requests in flight.
	 * @return at most 100 requests with their method and path
	 */
	Map<String, String> sample() {
		Map<String, String> sample = new TreeMap<>();
		this.requests.entrySet()
			.stream()
			.limit(MAX_DUMPED)
			.forEach((entry) -> sample.put(entry.getKey(), entry.getValue()));
		return sample;
	}

}
