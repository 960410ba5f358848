package io.fescuehold.runtime.http;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fescuehold.core.error.ErrorCode;

/**
 * The metrics of a router's request handling.
 */
final class RouterMetrics {

	private static final String PREFIX = "router.";

	private final MetricRegistry registry;

	private final Counter requests;

	private final Counter retries;

	private final Counter resumes;

	private final Counter continuations;

	private final Counter stalls;

	private final Timer addedLatency;

	RouterMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.requests = registry.counter(PREFIX + "requests");
		this.retries = registry.counter(PREFIX + "retries");
		this.resumes = registry.counter(PREFIX + "resumes");
		this.continuations = registry.counter(PREFIX + "continuations");
		this.stalls = registry.counter(PREFIX + "stalls");
		this.addedLatency = registry.timer(PREFIX + "addedLatency");
	}

	void countRequest() {
		this.requests.inc();
	}

	void countRefusal(ErrorCode code) {
		this.registry.counter(PREFIX + "refusals." + code).inc();
	}

	void countRetry() {
		this.retries.inc();
	}

	void countResume() {
		this.resumes.inc();
	}

	void countContinuation() {
		this.continuations.inc();
	}

	void countStall() {
		this.stalls.inc();
	}

	/**
	 * Records the time that a request spent in the router before its dispatch.
	 * @param caller the request
	 */
	void recordAddedLatency(CallerRequest caller) {
		this.addedLatency.update(System.nanoTime() - caller.receivedAtNs(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Returns the number of requests received.
	 * @return the number
	 */
	long requestCount() {
		return this.requests.getCount();
	}

}
