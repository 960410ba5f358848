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
 * Reads the platform's list of live and leaving hosts. The list lags; while it cannot be
 * read, the last one stays in use.
 */
public final class HostListPoller {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration INTERVAL = Duration.ofSeconds(2);

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int LOG_INTERVAL_S = 60;

	private final HttpClient http;

	private final Consumer<Set<String>> leavingHosts;

	private final Scheduler scheduler;

	private Disposable polls;

	/**
	 * Creates a poller that is not started.
	 * @param url the URL of the list
	 * @param leavingHosts receives the ids of the leaving hosts
	 * @param scheduler the timer
	 */
	public HostListPoller(String url, Consumer<Set<String>> leavingHosts, Scheduler scheduler) {
		this.http = HttpClient.create().baseUrl(url);
		this.leavingHosts = leavingHosts;
		this.scheduler = scheduler;
	}

	/**
	 * Starts to read the list.
	 */
	public void start() {
		this.polls = Flux.interval(Duration.ZERO, INTERVAL, this.scheduler)
			.onBackpressureDrop()
			.concatMap((tick) -> read())
			.subscribe(this.leavingHosts);
	}

	/**
	 * Stops to read the list.
	 */
	public void stop() {
		if (this.polls != null) {
			this.polls.dispose();
		}
	}

	private Mono<Set<String>> read() {
		return this.http.get()
			.uri("/hosts")
			.responseContent()
			.aggregate()
			.asByteArray()
			.map(HostListPoller::leaving)
			.timeout(TIMEOUT, this.scheduler)
			.onErrorResume((ex) -> {
				logger.atWarning()
					.atMostEvery(LOG_INTERVAL_S, TimeUnit.SECONDS)
					.log("The host list cannot be read (%s); the last one stays in use", ex.getMessage());
				return Mono.empty();
			});
	}

	private static Set<String> leaving(byte[] json) {
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
