package io.fescuehold.runtime.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Tracks the requests in flight and completes the drain once none is left.
 */
final class InFlightRequests {

	private static final int MAX_SAMPLE_SIZE = 100;

	private final Map<String, String> requests = new ConcurrentHashMap<>();

	private final Sinks.Empty<Void> drained = Sinks.empty();

	private volatile boolean draining;

	/**
	 * Adds a request.
	 * @param requestId the id of the request or of a background task that belongs to it
	 * @param description the method and path, for the dump
	 */
	void begin(String requestId, String description) {
		this.requests.put(requestId, description);
	}

	/**
	 * Removes a request.
	 * @param requestId the id of the request or of a background task that belongs to it
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
		return this.drained.asMono();
	}

	private void completeIfEmpty() {
		if (this.draining && this.requests.isEmpty()) {
			this.drained.tryEmitEmpty();
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
	 * Returns a sample of the requests in flight.
	 * @return the descriptions of at most 100 requests by request id
	 */
	Map<String, String> sample() {
		Map<String, String> sample = new TreeMap<>();
		this.requests.entrySet()
			.stream()
			.limit(MAX_SAMPLE_SIZE)
			.forEach((entry) -> sample.put(entry.getKey(), entry.getValue()));
		return sample;
	}

}
