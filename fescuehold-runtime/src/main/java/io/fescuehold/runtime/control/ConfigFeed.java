package io.fescuehold.runtime.control;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.view.FleetView;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Distributes accepted configurations. The feed receives them from the replicas on this
 * host and from other daemons, and serves them to every daemon that requests them. A
 * number older than the current one is never applied.
 */
public final class ConfigFeed implements FleetViews, StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_HOLD_MS = 10_000;

	private final String hostId;

	private final PeerTransport transport;

	private final UpstreamCandidates candidates;

	private final FeedStore store;

	private final Scheduler scheduler;

	private final FeedOptions options;

	private final Map<String, ShareHistory> histories = new ConcurrentHashMap<>();

	private final Sinks.Many<FleetView> views = Sinks.many().replay().latestOrDefault(FleetView.EMPTY);

	private final InForceTable inForce;

	private final FeedFetcher fetcher;

	private volatile FleetView current = FleetView.EMPTY;

	/**
	 * Creates a feed, registers its handlers and loads the stored configurations.
	 * @param hostId the host id of this daemon
	 * @param transport sends and receives messages
	 * @param candidates the daemons to fetch from
	 * @param store stores the newest configurations, or null if the host has no disk
	 * @param scheduler provides the time and runs delays
	 * @param options the intervals and time-outs
	 */
	public ConfigFeed(String hostId, PeerTransport transport, UpstreamCandidates candidates, FeedStore store,
			Scheduler scheduler, FeedOptions options) {
		this.hostId = hostId;
		this.transport = transport;
		this.candidates = candidates;
		this.store = store;
		this.scheduler = scheduler;
		this.options = options;
		this.inForce = new InForceTable(options.reportExpiryMs());
		this.fetcher = new FeedFetcher(this, transport, candidates, scheduler, options);
		if (store != null) {
			store.load().forEach((config) -> accept(config, false));
		}
		transport.onMessage(FeedMessage.Fetch.class, this::handleFetch);
		transport.onMessage(FeedMessage.ReadInForce.class,
				(from, request) -> Mono.fromSupplier(() -> new FeedMessage.InForceReport(inForceReport(null))));
	}

	/** Starts fetching from other daemons. */
	public void start() {
		this.fetcher.start();
	}

	/** Stops fetching. Requests of other daemons are still answered. */
	public void stop() {
		this.fetcher.stop();
	}

	/**
	 * Offers an accepted configuration. It is ignored if the same or a newer number of
	 * the share is known.
	 * @param config the configuration
	 */
	public void offer(ShareConfig config) {
		accept(config, true);
	}

	private synchronized void accept(ShareConfig config, boolean save) {
		if (config.number() < 1) {
			return;
		}
		FleetView newer = this.current.with(config);
		if (newer == this.current) {
			warnOnConflict(config);
			return;
		}
		this.histories.computeIfAbsent(config.share(), (share) -> new ShareHistory()).add(config);
		this.current = newer;
		this.views.emitNext(newer, Sinks.EmitFailureHandler.FAIL_FAST);
		if (save && this.store != null) {
			Schedulers.boundedElastic().schedule(() -> save(config.share()));
		}
	}

	private void warnOnConflict(ShareConfig config) {
		ShareConfig known = this.current.shares().get(config.share());
		if (known.number() == config.number() && !known.equals(config)) {
			logger.atSevere()
				.log("Share %s has two configurations with number %d (digests %s and %s); the first is kept."
						+ " Check whether a data folder of another group was restored", config.share(), config.number(),
						ConfigJson.digest(known), ConfigJson.digest(config));
		}
	}

	private void save(String share) {
		// Saves of one share may run in any order, so each writes the current
		// configuration.
		synchronized (this.store) {
			try {
				this.store.save(this.current.shares().get(share));
			}
			catch (UncheckedIOException ex) {
				logger.atWarning()
					.withCause(ex)
					.log("Share %s could not be saved; after a restart it is fetched from other daemons", share);
			}
		}
	}

	@Override
	public FleetView current() {
		return this.current;
	}

	@Override
	public Flux<FleetView> changes() {
		return this.views.asFlux();
	}

	/**
	 * Returns the configuration numbers in force at this daemon.
	 * @return the numbers by share
	 */
	SortedMap<String, Long> numbers() {
		return numbers(this.current);
	}

	private static SortedMap<String, Long> numbers(FleetView view) {
		SortedMap<String, Long> numbers = new TreeMap<>();
		view.shares().forEach((share, config) -> numbers.put(share, config.number()));
		return numbers;
	}

	private Mono<FeedMessage.Update> handleFetch(String fromHostId, FeedMessage.Fetch fetch) {
		long nowMs = nowMs();
		this.inForce.put(fromHostId, fetch.n(), nowMs, fromHostId);
		if (fetch.r() != null) {
			this.inForce.putAll(fetch.r(), this.hostId, fromHostId, nowMs);
		}
		FeedMessage.Update noUpdate = new FeedMessage.Update(null);
		if (fetch.h() <= 0) {
			return Mono.just(hasUpdate(this.current, fetch.n()) ? update(this.current, fetch.n()) : noUpdate);
		}
		Duration hold = Duration.ofMillis(Math.min(fetch.h(), MAX_HOLD_MS));
		// A configuration may be offered on the thread that applies the log. That thread
		// must not spend time on the replies to many daemons, so the scheduler creates
		// them.
		return changes().filter((view) -> hasUpdate(view, fetch.n()))
			.next()
			.publishOn(this.scheduler)
			.map((view) -> update(view, fetch.n()))
			.timeout(hold, Mono.just(noUpdate), this.scheduler);
	}

	private static boolean hasUpdate(FleetView view, Map<String, Long> numbers) {
		return view.shares()
			.values()
			.stream()
			.anyMatch((config) -> config.number() > numbers.getOrDefault(config.share(), -1L));
	}

	private FeedMessage.Update update(FleetView view, Map<String, Long> numbers) {
		List<FeedMessage.ShareUpdate> updates = new ArrayList<>();
		view.shares().forEach((share, config) -> {
			long known = numbers.getOrDefault(share, -1L);
			if (config.number() > known) {
				updates.add(this.histories.get(share).updateFrom(known));
			}
		});
		return new FeedMessage.Update(updates);
	}

	/**
	 * Applies the reply to a fetch.
	 * @param update the reply
	 * @throws RuntimeException if an entry is not valid; the entries before it are
	 * applied
	 */
	void apply(FeedMessage.Update update) {
		if (update.u() == null) {
			return;
		}
		for (FeedMessage.ShareUpdate share : update.u()) {
			if (share.delta() == null) {
				offer(ConfigJson.read(share.configJson()));
				continue;
			}
			ShareConfig base = this.current.shares().get(share.delta().share());
			// Another source may have delivered an update since the request was sent.
			if (base != null && base.number() == share.delta().fromNumber()) {
				offer(share.delta().applyTo(base));
			}
		}
	}

	/**
	 * Returns the numbers in force known to this daemon, including its own.
	 * @param excludedViaHostId the host id of a daemon whose forwarded reports are left
	 * out, or null
	 * @return the daemons, grouped by equal numbers
	 */
	List<FeedMessage.InForce> inForceReport(String excludedViaHostId) {
		this.inForce.put(this.hostId, numbers(), nowMs(), this.hostId);
		return this.inForce.groups(excludedViaHostId, nowMs());
	}

	/**
	 * Returns the version of the report. It increases when the numbers of a daemon change
	 * and when reports expire.
	 * @return the version
	 */
	long reportVersion() {
		this.inForce.put(this.hostId, numbers(), nowMs(), this.hostId);
		return this.inForce.version();
	}

	/**
	 * Queries the roots for the numbers in force at each daemon.
	 * @return the numbers by share for each host id, merged from the roots that respond
	 * and from this daemon
	 */
	public Mono<SortedMap<String, SortedMap<String, Long>>> inForce() {
		return Flux.fromIterable(this.candidates.roots())
			.filter((root) -> !root.equals(this.hostId))
			.flatMap((root) -> this.transport
				.request(root, new FeedMessage.ReadInForce(), Duration.ofMillis(this.options.requestTimeoutMs()))
				.cast(FeedMessage.InForceReport.class)
				.onErrorResume((error) -> Mono.empty()))
			.collectList()
			.map(this::merge);
	}

	private SortedMap<String, SortedMap<String, Long>> merge(List<FeedMessage.InForceReport> reports) {
		InForceTable merged = new InForceTable(this.options.reportExpiryMs());
		long nowMs = nowMs();
		merged.putAll(inForceReport(null), "", this.hostId, nowMs);
		reports.forEach((report) -> merged.putAll(report.groups(), this.hostId, "", nowMs));
		SortedMap<String, SortedMap<String, Long>> numbersByHost = new TreeMap<>();
		merged.groups(null, nowMs)
			.forEach(
					(group) -> group.a().keySet().forEach((host) -> numbersByHost.put(host, new TreeMap<>(group.n()))));
		return numbersByHost;
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	@Override
	public String dumpName() {
		return "feed";
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new TreeMap<>();
		dump.put("numbers", numbers());
		dump.put("upstream", String.valueOf(this.fetcher.upstream()));
		dump.put("reports", inForceReport(null));
		return dump;
	}

}
