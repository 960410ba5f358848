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
 * Fetches configurations from two sources at a time. The first is the preferred candidate
 * that answers. The second changes with every fetch, because a source that is cut off
 * from the replicas still answers, but with old numbers.
 */
final class FeedFetcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int SOURCES_ON_START = 3;

	private static final int MAX_SECOND_SOURCES = 4;

	private static final int RETRY_DELAY_MS = 200;

	private static final int RETURN_INTERVAL_MS = 30_000;

	private final ConfigFeed feed;

	private final PeerTransport transport;

	private final UpstreamCandidates candidates;

	private final Scheduler scheduler;

	private final FeedOptions options;

	private final Disposable.Composite tasks = Disposables.composite();

	private volatile int upstreamIndex;

	private volatile int secondIndex;

	private volatile long switchedAtMs;

	private volatile String reportedTo;

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
		Mono<Void> onStart = Flux.fromIterable(this.candidates.upstreams())
			.take(SOURCES_ON_START)
			.flatMap((host) -> fetch(host, 0, null).onErrorResume((error) -> Mono.empty()))
			.then();
		this.tasks.add(onStart.subscribe());
		this.tasks.add(Mono.defer(this::fetchFromUpstream).repeat().subscribe());
		this.tasks.add(Mono.defer(this::fetchFromSecond).repeat().subscribe());
	}

	void stop() {
		this.tasks.dispose();
	}

	/**
	 * Returns the source in use.
	 * @return the host id, or null
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
		boolean reportDue = !host.equals(this.reportedTo) || version != this.reportedVersion
				|| nowMs() - this.reportedAtMs >= this.options.reportMs();
		List<FeedMessage.InForce> report = reportDue ? this.feed.reported(host) : null;
		return fetch(host, this.options.holdMs(), report).then(Mono.<Void>fromRunnable(() -> {
			if (reportDue) {
				this.reportedTo = host;
				this.reportedVersion = version;
				this.reportedAtMs = nowMs();
			}
		})).onErrorResume((error) -> {
			logger.atInfo().withCause(error).log("Source %s of configurations is replaced by the next one", host);
			this.upstreamIndex = (this.upstreamIndex + 1) % Math.max(1, this.candidates.upstreams().size());
			this.switchedAtMs = nowMs();
			return pause(RETRY_DELAY_MS);
		});
	}

	private Mono<Void> fetchFromSecond() {
		List<String> hosts = this.candidates.upstreams();
		int sources = Math.min(hosts.size(), MAX_SECOND_SOURCES);
		if (sources < 2) {
			return pause(this.options.holdMs());
		}
		int index = this.secondIndex++ % sources;
		if (index == this.upstreamIndex) {
			index = this.secondIndex++ % sources;
		}
		int candidate = index;
		return fetch(hosts.get(candidate), this.options.secondHoldMs(), null)
			.then(Mono.<Void>fromRunnable(() -> preferred(candidate)))
			.onErrorResume((error) -> pause(RETRY_DELAY_MS));
	}

	// Without this, all daemons would stay on the last candidates after an outage and the
	// tree would lose its shape.
	private void preferred(int candidate) {
		if (candidate < this.upstreamIndex && nowMs() - this.switchedAtMs > RETURN_INTERVAL_MS) {
			this.upstreamIndex = candidate;
			this.switchedAtMs = nowMs();
		}
	}

	private Mono<Void> fetch(String host, int holdMs, List<FeedMessage.InForce> report) {
		return Mono
			.defer(() -> this.transport.request(host, new FeedMessage.Fetch(this.feed.numbers(), holdMs, report),
					Duration.ofMillis(this.options.silenceMs())))
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
