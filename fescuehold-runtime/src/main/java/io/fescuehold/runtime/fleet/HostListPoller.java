package io.fescuehold.runtime.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;

/**
 * Polls the platform's list of live and leaving hosts. The list lags behind the actual
 * state of the hosts. While it cannot be read, the last list remains in use.
 */
public final class HostListPoller {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(2);

	private static final int LOG_INTERVAL_S = 60;

	private final HttpClient http;

	private final Consumer<Set<String>> onLeavingHosts;

	private final Scheduler scheduler;

	private Disposable pollSubscription;

	/**
	 * Creates a poller that is not started.
	 * @param url the URL of the list
	 * @param onLeavingHosts receives the ids of the leaving hosts after each successful
	 * poll
	 * @param scheduler the timer
	 */
	public HostListPoller(String url, Consumer<Set<String>> onLeavingHosts, Scheduler scheduler) {
		this.http = HttpClient.create().baseUrl(url);
		this.onLeavingHosts = onLeavingHosts;
		this.scheduler = scheduler;
	}

	/**
	 * Starts polling.
	 */
	public void start() {
		this.pollSubscription = Flux.interval(Duration.ZERO, POLL_INTERVAL, this.scheduler)
			.onBackpressureDrop()
			.concatMap((tick) -> readLeavingHostIds())
			.subscribe(this.onLeavingHosts);
	}

	/**
	 * Stops polling.
	 */
	public void stop() {
		if (this.pollSubscription != null) {
			this.pollSubscription.dispose();
		}
	}

	private Mono<Set<String>> readLeavingHostIds() {
		return this.http.get()
			.uri("/hosts")
			.responseContent()
			.aggregate()
			.asByteArray()
			.map(HostListPoller::parseLeavingHostIds)
			.timeout(READ_TIMEOUT, this.scheduler)
			.onErrorResume((ex) -> {
				logger.atWarning()
					.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
					.log("The host list cannot be read (%s); the last list remains in use", ex.getMessage());
				return Mono.empty();
			});
	}

	private static Set<String> parseLeavingHostIds(byte[] json) {
		try {
			Set<String> hostIds = new HashSet<>();
			for (JsonNode host : MAPPER.readTree(json).path("hosts")) {
				if ("leaving".equals(host.path("state").asText())) {
					hostIds.add(host.path("hostId").asText());
				}
			}
			return hostIds;
		}
		catch (IOException ex) {
			throw new IllegalStateException("The host list is not valid JSON: " + ex.getMessage(), ex);
		}
	}

}
