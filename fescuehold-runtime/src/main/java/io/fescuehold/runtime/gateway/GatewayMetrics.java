package io.fescuehold.runtime.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and timers of the gateway. Most names end with the route, the service, the
 * status or the reason to which the metric applies.
 */
final class GatewayMetrics {

	private static final String PREFIX = "gateway.";

	private final MetricRegistry registry;

	GatewayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void request(String route) {
		this.registry.counter(PREFIX + "requests." + route).inc();
	}

	void answered(String route, int status, long tookMs) {
		this.registry.counter(PREFIX + "answers." + status).inc();
		this.registry.timer(PREFIX + "latency." + route).update(tookMs, TimeUnit.MILLISECONDS);
	}

	void firstEvent(String route, long tookMs) {
		this.registry.timer(PREFIX + "firstEvent." + route).update(tookMs, TimeUnit.MILLISECONDS);
	}

	void refused(String code) {
		this.registry.counter(PREFIX + "refusals." + code).inc();
	}

	void retried(String service) {
		this.registry.counter(PREFIX + "repeats." + service).inc();
	}

	void retryDenied(String service) {
		this.registry.counter(PREFIX + "repeatsDenied." + service).inc();
	}

	void relayed(String service) {
		this.registry.counter(PREFIX + "relayed." + service).inc();
	}

	void failed(String service, String kind) {
		this.registry.counter(PREFIX + "serverFailures." + service + "." + kind).inc();
	}

	void placed(String reason) {
		this.registry.counter(PREFIX + "placements." + reason).inc();
	}

	void promptPlaced(String service, int unreadTokens, boolean copies) {
		this.registry.counter(PREFIX + "unreadTokens." + service).inc(unreadTokens);
		if (copies) {
			this.registry.counter(PREFIX + "copies." + service).inc();
		}
	}

	void limited(String service) {
		this.registry.counter(PREFIX + "limited." + service).inc();
	}

	void coldHeld(String service) {
		this.registry.counter(PREFIX + "coldHeld." + service).inc();
	}

	void watchWaiting(String service, IntSupplier waiting) {
		this.registry.gauge(PREFIX + "waiting." + service, () -> waiting::getAsInt);
	}

	void held(String service) {
		this.registry.counter(PREFIX + "held." + service).inc();
	}

	void waited(String service, long tookMs) {
		this.registry.timer(PREFIX + "waited." + service).update(tookMs, TimeUnit.MILLISECONDS);
	}

	void notAdmitted(String service, String reason) {
		this.registry.counter(PREFIX + "notAdmitted." + service + "." + reason).inc();
	}

	void resting(String service) {
		this.registry.counter(PREFIX + "resting." + service).inc();
	}

	void evacuated(String service) {
		this.registry.counter(PREFIX + "evacuated." + service).inc();
	}

	void quarantined(String service) {
		this.registry.counter(PREFIX + "quarantined." + service).inc();
	}

	void hedgeStarted(String service) {
		this.registry.counter(PREFIX + "hedges.started." + service).inc();
	}

	void hedgeEnded(String service, boolean secondWon) {
		this.registry.counter(PREFIX + "hedges." + (secondWon ? "won." : "lost.") + service).inc();
	}

	void hedgeRefused(String reason) {
		this.registry.counter(PREFIX + "hedges.refused." + reason).inc();
	}

	void brokenOff() {
		this.registry.counter(PREFIX + "brokenOff").inc();
	}

	void callerLeft() {
		this.registry.counter(PREFIX + "callerLeft").inc();
	}

}
