package io.fescuehold.daemon.gateway;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.drain.DrainSchedule;
import io.fescuehold.core.entry.NearestEntries;
import io.fescuehold.core.freshness.SuspensionClock;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.RoutingRules;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.backend.BackendOptions;
import io.fescuehold.runtime.discovery.Fleet;
import io.fescuehold.runtime.discovery.FleetOptions;
import io.fescuehold.runtime.discovery.ServerListSource;
import io.fescuehold.runtime.gateway.CallerProtocol;
import io.fescuehold.runtime.gateway.Documents;
import io.fescuehold.runtime.gateway.GatewayBelief;
import io.fescuehold.runtime.gateway.GatewayOptions;
import io.fescuehold.runtime.gateway.GatewayServer;
import io.fescuehold.runtime.gateway.RoutingCodec;
import io.fescuehold.runtime.replica.AgreementTransport;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import io.fescuehold.runtime.transport.PeerAddress;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import io.fescuehold.runtime.transport.TransportOptions;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * One daemon of a gateway fleet. One thread serves callers, servers and the other
 * daemons, so that all decisions see one state; only the disk has a thread of its own.
 */
public final class GatewayNode {

	/** A key is refused this part of the revocation time after the last confirmation. */
	private static final double KEY_AGE_PART = 0.8;

	/** A route that is missing here may have been added this long ago. */
	private static final long ABSENCE_AGE_MS = 1_000;

	/** How long the other daemons may go on naming this one after it began to drain. */
	private static final long HOST_LIST_LAG_MS = 500;

	/** Time to close the store before the process is killed. */
	private static final long CLOSE_MS = 600;

	private static final long DRAIN_CHECK_MS = 50;

	private static final long POOL_CHECK_MS = 5_000;

	private static final BackendOptions BACKEND = new BackendOptions(400, 1_000, 1_000, 400, 4_000, 32_768);

	private static final TransportOptions.Limits TRANSPORT = new TransportOptions.Limits(500, 1_500, 500, 300, 60_000,
			8 << 20, 4_096, 32L << 20);

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final GatewaySettings settings;

	private final RoutingCodec codec;

	private final MetricRegistry metrics = new MetricRegistry();

	private final SuspensionClock clock;

	private final Scheduler scheduler;

	private final TcpPeerTransport transport;

	private final GatewayBelief belief;

	private final GatewayServer server;

	private final Fleet fleet;

	private final OperationsServer operations;

	private volatile DrainSchedule drain;

	/**
	 * Creates a daemon without starting it.
	 * @param settings the settings
	 * @param loops the thread of the daemon
	 * @param protocol the names of callers' and servers' headers
	 * @param codec reads configurations
	 * @param listSource reads the list of servers
	 * @param startedNs when the process started at the latest, as
	 * {@link System#nanoTime()} shows it
	 */
	public GatewayNode(GatewaySettings settings, LoopResources loops, CallerProtocol protocol, RoutingCodec codec,
			ServerListSource listSource, long startedNs) {
		this.settings = settings;
		this.codec = codec;
		this.clock = new SuspensionClock(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
				System::currentTimeMillis);
		this.scheduler = new MonotonicScheduler(Schedulers.fromExecutorService(loops.onServer(false).next()),
				() -> TimeUnit.MILLISECONDS.toNanos(this.clock.nowMs()));
		RandomGenerator random = RandomGeneratorFactory.of("SplittableRandom")
			.create(System.nanoTime() ^ settings.hostId().hashCode());
		this.transport = new TcpPeerTransport(new TransportOptions(settings.hostId(),
				new PeerAddress(settings.hostId(), settings.peerPort()), Map.of(), TRANSPORT), this.metrics,
				this.scheduler, loops);
		this.transport.discoverPeers((hostId) -> new PeerAddress(hostId, settings.peerPort()));
		this.belief = new GatewayBelief(codec, this.clock::nowMs);
		this.server = new GatewayServer(options(settings), this.belief, protocol, this.scheduler, loops, this.metrics,
				random);
		this.fleet = new Fleet(
				new FleetOptions(settings.hostId(), settings.failureDomain(), settings.peerPort(), settings.seeds(),
						settings.firstStart(), settings.dataFolder(), settings.losses(),
						TimeUnit.NANOSECONDS.toMillis(startedNs), FleetOptions.Timing.DEFAULT),
				this.transport, new AgreementTransport(this.transport), this.scheduler, listSource, this.belief,
				this::state, this.metrics, random, System.currentTimeMillis());
		this.operations = new OperationsServer(settings.hostId(), settings.operationsPort(), loops, this.metrics,
				this::dump);
		this.metrics.register("configuration.number", (Gauge<Long>) this.belief::number);
		this.metrics.register("configuration.ageMs", (Gauge<Long>) this.belief::ageMs);
		this.metrics.register("fleet.silenceMs", (Gauge<Long>) this.fleet::silenceMs);
		this.metrics.register("gateway.inFlight", (Gauge<Integer>) this.server::inFlight);
	}

	private static GatewayOptions options(GatewaySettings settings) {
		return new GatewayOptions(settings.hostId(), settings.callerPort(), settings.failureDomain(),
				(long) (settings.revocationMs() * KEY_AGE_PART), ABSENCE_AGE_MS, settings.retryRatio(),
				settings.retryExtra(), settings.retryWindowMs(), BACKEND);
	}

	/**
	 * Starts the daemon.
	 */
	public void start() {
		this.server.start();
		this.operations.start();
		this.transport.start().block(Duration.ofSeconds(5));
		this.fleet.start();
		this.scheduler.schedulePeriodically(this.server::closeUnusedPools, POOL_CHECK_MS, POOL_CHECK_MS,
				TimeUnit.MILLISECONDS);
		logger.atInfo()
			.log("Daemon %s in failure domain %s started, disk %s, seeds %s, first start %s", this.settings.hostId(),
					this.settings.failureDomain(), this.settings.dataFolder(), this.settings.seeds(),
					this.settings.firstStart());
	}

	private HostState state() {
		if (this.drain != null) {
			return HostState.DRAINING;
		}
		boolean knowing = this.belief.table() != null && this.belief.servers().revision() != 0;
		return knowing ? HostState.READY : HostState.STARTING;
	}

	/**
	 * Returns whether this daemon serves callers.
	 * @return whether it has a confirmed configuration and does not drain
	 */
	public boolean isReady() {
		return state() == HostState.READY && this.belief.ageMs() < this.settings.revocationMs() * KEY_AGE_PART;
	}

	/**
	 * Returns the port that callers reach.
	 * @return the port
	 */
	public int callerPort() {
		return this.server.port();
	}

	/**
	 * Returns where a caller may connect.
	 * @param failureDomain the failure domain of the caller, or null
	 * @return the addresses, none if no daemon is known to serve
	 */
	public Mono<List<String>> entries(String failureDomain) {
		return Mono
			.fromSupplier(() -> NearestEntries.choose(entryHosts(), failureDomain)
				.stream()
				.map((host) -> host.hostId() + ":" + this.settings.callerPort())
				.toList())
			.subscribeOn(this.scheduler);
	}

	private List<HostRecord> entryHosts() {
		return this.belief.hosts()
			.stream()
			.filter((host) -> !host.hostId().equals(this.settings.hostId()) || isReady())
			.toList();
	}

	/**
	 * Checks and submits a configuration.
	 * @param submitted the bytes that an operator sent
	 * @return the outcome; errors with code ROUTING_INVALID, or with another code if the
	 * configuration may or may not take effect
	 */
	public Mono<SubmissionOutcome> submit(byte[] submitted) {
		return Mono.defer(() -> {
			RoutingConfig config = this.codec.decode(submitted);
			RoutingRules.check(config);
			return this.fleet.submit(Documents.of(config.number(), submitted))
				.doOnNext((outcome) -> logger.atInfo().log("Configuration %d: %s", config.number(), outcome))
				.doOnError((error) -> logger.atWarning()
					.log("Configuration %d got no outcome: %s", config.number(), error.getMessage()));
		});
	}

	/**
	 * Reads the newest configuration.
	 * @return the bytes that an operator sent, empty if there is none; errors if it is
	 * not certain which is the newest
	 */
	public Mono<byte[]> readNewest() {
		return this.fleet.readNewest().filter((document) -> document.number() > 0).map(Documents::submitted);
	}

	/**
	 * Changes the daemons that are asked first.
	 * @param seeds their IP numbers
	 */
	public void setSeeds(List<String> seeds) {
		this.scheduler.schedule(() -> this.fleet.setSeeds(seeds));
	}

	/**
	 * Stops to take new callers, waits until no entry answer names this daemon and until
	 * the requests in flight have ended.
	 * @return completes when the daemon may stop, at the latest shortly before the
	 * process would be killed
	 */
	public Mono<Void> drain() {
		return Mono.create((sink) -> this.scheduler.schedule(() -> {
			long nowMs = this.clock.nowMs();
			logger.atInfo().log("Draining with %d requests in flight", this.server.inFlight());
			this.drain = new DrainSchedule(nowMs, this.settings.maxEntryValidMs(), HOST_LIST_LAG_MS);
			this.server.closeConnections();
			this.fleet.yieldLeadership();
			checkDrain(sink, nowMs + this.settings.stopMs() - CLOSE_MS);
		}));
	}

	private void checkDrain(MonoSink<Void> sink, long latestMs) {
		long nowMs = this.clock.nowMs();
		DrainSchedule.Phase phase = this.drain.phase(this.server.inFlight(), nowMs);
		if (!phase.acceptsRequests()) {
			this.server.refuseRequests();
		}
		if (phase == DrainSchedule.Phase.STOPPABLE || nowMs >= latestMs) {
			logger.atInfo().log("Drained, %d requests are broken off", this.server.inFlight());
			sink.success();
			return;
		}
		this.scheduler.schedule(() -> checkDrain(sink, latestMs), DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops the daemon.
	 */
	public void stop() {
		this.fleet.stop();
		this.server.stop();
		logger.atInfo().log("Daemon %s has stopped", this.settings.hostId());
	}

	private Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put(this.fleet.dumpName(), this.fleet.dump());
		dump.put(this.server.dumpName(), this.server.dump());
		dump.put(this.transport.dumpName(), this.transport.dump());
		dump.put("suspendedMs", this.clock.suspendedMs());
		dump.put("draining", this.drain != null);
		return dump;
	}

}
