package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.port.PeerTransport;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Fetches configurations from two sources in parallel. The upstream is the preferred
 * candidate that responds. The secondary source rotates with every fetch, because a
 * source that is cut off from the replicas still responds, but with old numbers.
 */
final class FeedFetcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int INITIAL_SOURCES = 3;

	private static final int MAX_SECONDARY_SOURCES = 4;

	private static final int RETRY_DELAY_MS = 200;

	private static final int FAILBACK_DELAY_MS = 30_000;

	private final ConfigFeed feed;

	private final PeerTransport transport;

	private final UpstreamCandidates candidates;

	private final Scheduler scheduler;

	private final FeedOptions options;

	private final Disposable.Composite tasks = Disposables.composite();

	private volatile int upstreamIndex;

	private volatile int secondaryIndex;

	private volatile long switchedAtMs;

	private volatile String reportedToHostId;

	private volatile long reportedVersion = -1;

	private volatile long reportedAtMs;

	FeedFetcher(ConfigFeed feed, PeerTransport transport, UpstreamCandidates candidates, Scheduler scheduler,
			FeedOptions options) {
		this.feed = feed;
		this.transport = transport;
		this.candidates = candidates;
		this.scheduler = scheduler;
		this.options = options;
	}

	void start() {
		Mono<Void> initialFetches = Flux.fromIterable(this.candidates.upstreams())
			.take(INITIAL_SOURCES)
			.flatMap((host) -> fetch(host, 0, null).onErrorResume((error) -> Mono.empty()))
			.then();
		this.tasks.add(initialFetches.subscribe());
		this.tasks.add(Mono.defer(this::fetchFromUpstream).repeat().subscribe());
		this.tasks.add(Mono.defer(this::fetchFromSecondary).repeat().subscribe());
	}

	void stop() {
		this.tasks.dispose();
	}

	/**
	 * Returns the current upstream.
	 * @return the host id, or null if there are no candidates
	 */
	String upstream() {
		List<String> hosts = this.candidates.upstreams();
		return hosts.isEmpty() ? null : hosts.get(this.upstreamIndex % hosts.size());
	}

	private Mono<Void> fetchFromUpstream() {
		String host = upstream();
		if (host == null) {
			return pause(this.options.holdMs());
		}
		long version = this.feed.reportVersion();
		boolean reportDue = !host.equals(this.reportedToHostId) || version != this.reportedVersion
				|| nowMs() - this.reportedAtMs >= this.options.reportIntervalMs();
		List<FeedMessage.InForce> report = reportDue ? this.feed.inForceReport(host) : null;
		return fetch(host, this.options.holdMs(), report).then(Mono.<Void>fromRunnable(() -> {
			if (reportDue) {
				this.reportedToHostId = host;
				this.reportedVersion = version;
				this.reportedAtMs = nowMs();
			}
		})).onErrorResume((error) -> {
			logger.atInfo().withCause(error).log("Configuration source %s failed; switching to the next one", host);
			this.upstreamIndex = (this.upstreamIndex + 1) % Math.max(1, this.candidates.upstreams().size());
			this.switchedAtMs = nowMs();
			return pause(RETRY_DELAY_MS);
		});
	}

	private Mono<Void> fetchFromSecondary() {
		List<String> hosts = this.candidates.upstreams();
		int sources = Math.min(hosts.size(), MAX_SECONDARY_SOURCES);
		if (sources < 2) {
			return pause(this.options.holdMs());
		}
		int index = this.secondaryIndex++ % sources;
		if (index == this.upstreamIndex) {
			index = this.secondaryIndex++ % sources;
		}
		int candidate = index;
		return fetch(hosts.get(candidate), this.options.secondaryHoldMs(), null)
			.then(Mono.<Void>fromRunnable(() -> failBack(candidate)))
			.onErrorResume((error) -> pause(RETRY_DELAY_MS));
	}

	// Without failback, all daemons would stay on their last candidates after an outage
	// and the distribution tree would not return to its shape.
	private void failBack(int candidate) {
		if (candidate < this.upstreamIndex && nowMs() - this.switchedAtMs > FAILBACK_DELAY_MS) {
			this.upstreamIndex = candidate;
			this.switchedAtMs = nowMs();
		}
	}

	private Mono<Void> fetch(String host, int holdMs, List<FeedMessage.InForce> report) {
		return Mono
			.defer(() -> this.transport.request(host, new FeedMessage.Fetch(this.feed.numbers(), holdMs, report),
					Duration.ofMillis(this.options.requestTimeoutMs())))
			.cast(FeedMessage.Update.class)
			.doOnNext(this.feed::apply)
			.then();
	}

	private Mono<Void> pause(int delayMs) {
		return Mono.delay(Duration.ofMillis(delayMs), this.scheduler).then();
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
