package io.fescuehold.daemon.wiring;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.fescuehold.config.PolicySpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.drain.DrainSchedule;
import io.fescuehold.core.placement.BoundedLoadPlacement;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.SharedState;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.EndpointSettings;
import io.fescuehold.runtime.control.LoadExchange;
import io.fescuehold.runtime.control.load.ModelServerPoller;
import io.fescuehold.runtime.drain.KvMigrator;
import io.fescuehold.runtime.fleet.FleetMessage;
import io.fescuehold.runtime.fleet.HostDirectory;
import io.fescuehold.runtime.http.ConnectionReport;
import io.fescuehold.runtime.http.RouterOptions;
import io.fescuehold.runtime.http.RouterPorts;
import io.fescuehold.runtime.http.RouterServer;
import io.fescuehold.runtime.http.SerialPlacement;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;

/**
 * The router role: serves callers.
 */
final class RouterRole {

	private static final Duration POLL_TIMEOUT = Duration.ofSeconds(2);

	// A drain is announced to the other routers at once and repeated every second. A
	// router that receives nothing from this host for this long considers it dead.
	private static final long DRAIN_NOTICE_MS = 3_000;

	private final FleetViews views;

	private final HostDirectory hosts;

	private final Scheduler scheduler;

	private final LoadExchange loads;

	private final KvMigrator migrator;

	private final PoolAdmission admission;

	private final RouterServer server;

	/**
	 * Creates the router.
	 * @param settings the settings
	 * @param transport the connections to the other daemons
	 * @param views the configuration in force
	 * @param state the replicated state
	 * @param hosts the other daemons
	 * @param scheduler the clock and the timers
	 * @param metrics the registry of the metrics
	 * @param seed the seed of random choices
	 */
	RouterRole(DaemonSettings settings, PeerTransport transport, FleetViews views, SharedState state,
			HostDirectory hosts, Scheduler scheduler, MetricRegistry metrics, long seed) {
		this.views = views;
		this.hosts = hosts;
		this.scheduler = scheduler;
		PlacementPolicy placement = new SerialPlacement(
				new BoundedLoadPlacement(settings.hostId(), hosts::liveRouters, seed));
		Consumer<CacheEvent> cacheEvents = (event) -> placement.cacheEvent(event, nowMs());
		ModelServerPoller poller = new ModelServerPoller(HttpClient.create(), POLL_TIMEOUT);
		this.loads = new LoadExchange(settings.hostId(), views, transport, hosts::alive, poller, cacheEvents,
				scheduler);
		this.migrator = new KvMigrator(settings.hostId(), views, hosts::liveRouterIds, poller, HttpClient.create(),
				cacheEvents, scheduler);
		this.admission = new PoolAdmission(views, this.loads, hosts::liveRouters, scheduler, seed);
		SharedRetryBudget retries = new SharedRetryBudget();
		metrics.register("router.retryAmplification", (Gauge<Double>) retries::amplification);
		RouterPorts ports = new RouterPorts(settings.hostId(), views, this.loads, state, placement, this.admission,
				retries, new FleetEntrySelection(hosts, this::minEntryValidMs, seed),
				new PeerStreamHandover(transport));
		this.server = new RouterServer(options(settings.callers()), ports, metrics, scheduler, this::nowMs, seed);
		transport.onMessage(FleetMessage.StreamTaken.class, (from, taken) -> {
			this.server.streamTaken(taken.serverId(), taken.streamId());
			return Mono.just(new FleetMessage.StreamTakenNoted());
		});
	}

	private static RouterOptions options(EndpointSettings callers) {
		RouterOptions options = RouterOptions.of(callers.address(), callers.port());
		return (callers.tls() != null)
				? options.withTls(new RouterOptions.Tls(callers.tls().certificateFile(), callers.tls().keyFile()))
				: options;
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	// Returns the validity of entry responses: the minimum over all shares, because the
	// share of the caller is not known yet.
	private long minEntryValidMs() {
		return this.views.current()
			.shares()
			.values()
			.stream()
			.map(ShareConfig::policy)
			.mapToLong(PolicySpec::entryAnswerMs)
			.min()
			.orElse(PolicySpec.DEFAULT.entryAnswerMs());
	}

	// Returns the longest time for which an entry response of any router may be valid. A
	// router without a configuration uses the default.
	private long maxEntryValidMs() {
		return this.views.current()
			.shares()
			.values()
			.stream()
			.mapToLong((config) -> config.policy().entryAnswerMs())
			.max()
			.orElse(PolicySpec.DEFAULT.entryAnswerMs());
	}

	/**
	 * Starts serving callers.
	 */
	void start() {
		this.loads.start();
		this.migrator.start();
		this.admission.start();
		this.server.start();
	}

	/**
	 * Removes this host from entry responses, waits until the last response that names it
	 * has expired and then until no request is in flight and no connection is open.
	 * @return completes when the router can stop without aborting a request
	 */
	Mono<Void> drain() {
		return Mono.defer(() -> {
			this.hosts.drainSelf();
			this.server.closeConnections();
			DrainSchedule schedule = new DrainSchedule(nowMs(), maxEntryValidMs(), DRAIN_NOTICE_MS);
			return Mono.delay(Duration.ofMillis(schedule.lastAnswerExpiresAtMs() - nowMs()), this.scheduler)
				.then(Mono.defer(this.server::drain));
		});
	}

	/**
	 * Stops serving callers.
	 */
	void stop() {
		this.server.stop();
		this.admission.stop();
		this.migrator.stop();
		this.loads.stop();
	}

	/**
	 * Returns the state of the callers' connections.
	 * @return the state
	 */
	ConnectionReport connections() {
		return this.server.connections();
	}

	/**
	 * Returns the sections of the state dump.
	 * @return the sections
	 */
	List<StateDump> dumps() {
		return List.of(this.server, this.loads, this.admission, this.migrator);
	}

}
