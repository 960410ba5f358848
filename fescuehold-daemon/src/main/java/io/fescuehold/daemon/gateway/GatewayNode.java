package io.fescuehold.daemon.gateway;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
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
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.discovery.EvidenceGossip;
import io.fescuehold.runtime.discovery.EvidenceStore;
import io.fescuehold.runtime.discovery.Fleet;
import io.fescuehold.runtime.discovery.FleetOptions;
import io.fescuehold.runtime.discovery.ReachDirectory;
import io.fescuehold.runtime.discovery.ServerListSource;
import io.fescuehold.runtime.discovery.StreamDirectory;
import io.fescuehold.runtime.gateway.CallerProtocol;
import io.fescuehold.runtime.gateway.GatewayBelief;
import io.fescuehold.runtime.gateway.GatewayServer;
import io.fescuehold.runtime.gateway.RoutingCodec;
import io.fescuehold.runtime.http.HttpListeners;
import io.fescuehold.runtime.replica.AgreementTransport;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import io.fescuehold.runtime.transport.PeerAddress;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import io.fescuehold.runtime.transport.TransportOptions;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * One daemon of a gateway fleet. A single event loop handles callers, backend servers and
 * the other daemons, so that all decisions see the same state; only disk access runs in a
 * separate thread.
 */
public final class GatewayNode {

	/** The time for which other daemons may still list this one after its drain began. */
	private static final long HOST_LIST_LAG_MS = 500;

	/** The time reserved for closing the store before the process is killed. */
	private static final long CLOSE_MS = 600;

	/** The time for the answers to requests that have not ended by then. */
	private static final long FINAL_ANSWERS_MS = 300;

	/** The part of the descriptors for each operators' port and for unnamed peers. */
	private static final int OPERATOR_PART = 16;

	/** The part of the heap for calls of operators, which callers cannot take. */
	private static final int OPERATOR_HEAP_PART = 6;

	private static final int STALL_CHECK_MS = 500;

	private static final long DRAIN_CHECK_MS = 20;

	private static final Duration TRANSPORT_START_TIMEOUT = Duration.ofSeconds(5);

	private static final long POOL_CHECK_MS = 5_000;

	private static final long EXPIRY_CHECK_MS = 5_000;

	private static final TransportOptions.Limits TRANSPORT = new TransportOptions.Limits(500, 1_500, 500, 300, 60_000,
			8 << 20, 4_096, 32L << 20);

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final GatewaySettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final SuspensionClock clock;

	private final Scheduler scheduler;

	private final TcpPeerTransport transport;

	private final GatewayBelief belief;

	private final StreamDirectory streams;

	private final ReachDirectory reach;

	private final GatewayServer server;

	private final Fleet fleet;

	private final EvidenceGossip gossip;

	/** Null if the host has no disk. */
	private final EvidenceStore evidence;

	/** The listeners of operators, of the platform and of the metrics. */
	private final HttpListeners operatorListeners;

	private final OperatorHttp operatorHttp;

	private final OperationsServer operations;

	private final ConfigurationOrders configurations;

	private final EvacuationOrders evacuations;

	/** Ends the calls of operators that are open when this daemon stops. */
	private final Sinks.Empty<Void> ending = Sinks.empty();

	/** Held while the daemon starts or stops its parts. */
	private final ReentrantLock lifecycle = new ReentrantLock();

	private volatile List<String> seeds;

	private volatile DrainSchedule drain;

	private volatile boolean stopping;

	/**
	 * Creates a daemon without starting it.
	 * @param settings the settings
	 * @param loops the event loop of the daemon
	 * @param protocol reads and writes the headers of callers and servers
	 * @param codec decodes routing configurations
	 * @param listSource reads the list of servers
	 * @param startedNs an upper bound of the start time of the process, as a value of
	 * {@link System#nanoTime()}
	 */
	public GatewayNode(GatewaySettings settings, LoopResources loops, CallerProtocol protocol, RoutingCodec codec,
			ServerListSource listSource, long startedNs) {
		this.settings = settings;
		this.seeds = settings.seeds();
		this.clock = new SuspensionClock(() -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
				System::currentTimeMillis);
		this.scheduler = new MonotonicScheduler(Schedulers.fromExecutorService(loops.onServer(false).next()),
				() -> TimeUnit.MILLISECONDS.toNanos(this.clock.nowMs()));
		RandomGenerator random = RandomGeneratorFactory.of("SplittableRandom")
			.create(System.nanoTime() ^ settings.hostId().hashCode());
		this.transport = new TcpPeerTransport(new TransportOptions(settings.hostId(),
				new PeerAddress(settings.hostId(), settings.peerPort()), Map.of(), TRANSPORT), this.metrics,
				this.scheduler, loops);
		this.transport.limitUnidentified(settings.maxDescriptors() / OPERATOR_PART);
		this.transport.discoverPeers((hostId) -> new PeerAddress(hostId, settings.peerPort()));
		this.belief = new GatewayBelief(settings.hostId(), codec, this.clock::nowMs, random);
		this.streams = new StreamDirectory(settings.hostId(), this.transport, this.scheduler, this.belief::hosts,
				() -> this.seeds, this.belief::ageMs, this.belief::streamRetentionMs, this.belief.servedVersions(),
				(settings.dataFolder() != null) ? settings.dataFolder().resolve("streams") : null,
				StreamDirectory.Waits.DEFAULT);
		this.reach = new ReachDirectory(settings.hostId(), this.transport, this.scheduler, loops, this.belief::hosts,
				this.belief.servers(), this::requestsInFlight, random);
		this.server = new GatewayServer(settings.gatewayOptions(), this.belief, protocol, this.streams, this.reach,
				this.scheduler, loops, this.metrics, random);
		this.fleet = new Fleet(
				new FleetOptions(settings.hostId(), settings.failureDomain(), settings.peerPort(), settings.seeds(),
						settings.firstStart(), settings.dataFolder(), settings.losses(),
						TimeUnit.NANOSECONDS.toMillis(startedNs), FleetOptions.Timing.DEFAULT),
				this.transport, new AgreementTransport(this.transport), this.scheduler, listSource, this.belief,
				this::hostState, this.metrics, random, System.currentTimeMillis());
		this.gossip = new EvidenceGossip(settings.hostId(), this.transport, this.scheduler, this.belief::hosts,
				() -> this.seeds, this.belief.quarantine(), this.belief.requestLimits());
		this.evidence = (settings.dataFolder() != null) ? new EvidenceStore(settings.dataFolder().resolve("quarantine"),
				this.belief.quarantine(), this.scheduler, System::currentTimeMillis) : null;
		this.operatorListeners = new HttpListeners("operators", this.metrics);
		this.operatorHttp = new OperatorHttp(this.operatorListeners,
				Runtime.getRuntime().maxMemory() / OPERATOR_HEAP_PART, settings.maxDescriptors() / OPERATOR_PART);
		this.configurations = new ConfigurationOrders(this.fleet, this.belief, codec, this.scheduler,
				this.ending.asMono());
		this.evacuations = new EvacuationOrders(this.fleet, this.belief, this.scheduler, this.ending.asMono(),
				this.metrics);
		this.operations = new OperationsServer(settings.hostId(), settings.operationsPort(), loops, this.metrics,
				this.operatorHttp, this::dump, this.evacuations);
		this.metrics.register("configuration.number", (Gauge<Long>) this.belief::number);
		this.metrics.register("configuration.ageMs", (Gauge<Long>) this.belief::ageMs);
		this.metrics.register("fleet.silenceMs", (Gauge<Long>) this.fleet::silenceMs);
		this.metrics.register("gateway.heldBytes", (Gauge<Long>) () -> this.server.memory().heldBytes());
		this.metrics.register("gateway.coldServers", (Gauge<Integer>) this.belief::coldServerCount);
		this.metrics.register("operators.heldBytes", (Gauge<Long>) () -> this.operatorHttp.memory().heldBytes());
		this.metrics.register("gateway.inFlight", (Gauge<Integer>) this.server::inFlight);
	}

	/**
	 * Returns the listeners of operators and of the platform, which this daemon drains
	 * with its own.
	 * @return the listeners
	 */
	public OperatorHttp operatorHttp() {
		return this.operatorHttp;
	}

	/**
	 * Starts the daemon. If it is asked to stop meanwhile, the remaining parts do not
	 * start.
	 */
	public void start() {
		this.lifecycle.lock();
		try {
			List<Runnable> parts = List.of(() -> this.streams.start(this.settings.firstStart()), this.reach::start,
					this::startEvidence, this.server::start, this.operations::start,
					() -> this.transport.start().block(TRANSPORT_START_TIMEOUT), this.fleet::start, this.gossip::start,
					this::startChecks);
			for (Runnable part : parts) {
				if (this.stopping) {
					return;
				}
				part.run();
			}
		}
		finally {
			this.lifecycle.unlock();
		}
		logger.atInfo()
			.log("Daemon %s in failure domain %s started, disk %s, seeds %s, first start %s", this.settings.hostId(),
					this.settings.failureDomain(), this.settings.dataFolder(), this.settings.seeds(),
					this.settings.firstStart());
	}

	private void startEvidence() {
		if (this.evidence != null) {
			this.evidence.start();
		}
	}

	private void startChecks() {
		this.scheduler.schedulePeriodically(this.server::closeUnusedPools, POOL_CHECK_MS, POOL_CHECK_MS,
				TimeUnit.MILLISECONDS);
		this.scheduler.schedulePeriodically(this.server::closeStalled, STALL_CHECK_MS, STALL_CHECK_MS,
				TimeUnit.MILLISECONDS);
		this.scheduler.schedulePeriodically(this.belief::expire, EXPIRY_CHECK_MS, EXPIRY_CHECK_MS,
				TimeUnit.MILLISECONDS);
	}

	private int requestsInFlight() {
		return this.server.inFlight();
	}

	private HostState hostState() {
		if (this.drain != null) {
			return HostState.DRAINING;
		}
		boolean initialised = this.belief.table() != null && this.belief.servers().revision() != 0;
		return initialised ? HostState.READY : HostState.STARTING;
	}

	/**
	 * Returns whether this daemon serves callers.
	 * @return whether it has a recently confirmed configuration and is not draining
	 */
	public boolean isReady() {
		return hostState() == HostState.READY && this.belief.ageMs() < this.settings.keyAgeMs();
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.server.port();
	}

	/**
	 * Returns the daemons that a caller may connect to.
	 * @param failureDomain the failure domain of the caller, or null
	 * @return the addresses as {@code IP:PORT}, empty if no daemon is known to be ready
	 */
	public Mono<List<String>> entryAddresses(String failureDomain) {
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
	 * @return the outcome; errors with code ROUTING_INVALID if the configuration is
	 * invalid, or with another code if it is unknown whether it takes effect
	 */
	public Mono<SubmissionOutcome> submit(byte[] submitted) {
		return this.configurations.submit(submitted);
	}

	/**
	 * Reads the newest configuration.
	 * @return the bytes that an operator sent, empty if there is none; errors if the
	 * newest one cannot be determined
	 */
	public Mono<byte[]> readNewest() {
		return this.configurations.readNewest();
	}

	/**
	 * Returns the part that takes orders to evacuate failure domains.
	 * @return the orders
	 */
	public EvacuationOrders evacuations() {
		return this.evacuations;
	}

	/**
	 * Replaces the seeds, the daemons that are contacted first.
	 * @param seeds the IP addresses of the daemons
	 */
	public void setSeeds(List<String> seeds) {
		this.seeds = List.copyOf(seeds);
		this.scheduler.schedule(() -> this.fleet.setSeeds(seeds));
	}

	/**
	 * Stops the daemon after a signal, also while it starts. Returns when the process may
	 * end: shortly before it would be killed, or as soon as no connection of a caller or
	 * operator is left.
	 * @param signalledNs the time of the signal, as a value of {@link System#nanoTime()}
	 */
	public void shutDown(long signalledNs) {
		this.stopping = true;
		awaitDrained(signalledNs);
		try {
			if (this.lifecycle.tryLock(CLOSE_MS / 2, TimeUnit.MILLISECONDS)) {
				stop();
				return;
			}
			logger.atWarning()
				.log("Daemon %s ends while it starts; callers and hosts: %s", this.settings.hostId(),
						this.server.connections());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void awaitDrained(long signalledNs) {
		long passedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNs);
		long leftMs = Math.max(1, this.settings.stopMs() - CLOSE_MS + CLOSE_MS / 3 - passedMs);
		try {
			drain(signalledNs).block(Duration.ofMillis(leftMs));
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("The drain has not ended within %d ms", leftMs);
		}
	}

	/**
	 * Drains the daemon: closes each connection after its next response, waits until the
	 * entry responses that name this daemon have expired, then closes the connections
	 * without a request, waits until those in flight have ended, and answers those that
	 * have not. Operators are served until the callers have gone.
	 * @param signalledNs the time of the signal, as a value of {@link System#nanoTime()}
	 * @return completes when no connection is left, at the latest shortly before the
	 * process would be killed
	 */
	public Mono<Void> drain(long signalledNs) {
		return Mono.create((sink) -> this.scheduler.schedule(() -> {
			long nowMs = this.clock.nowMs();
			long lateMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledNs);
			logger.atInfo()
				.log("Draining with %d requests in flight, %d ms after the signal; %s", this.server.inFlight(), lateMs,
						this.server.connections());
			long latestMs = nowMs - lateMs + this.settings.stopMs() - CLOSE_MS;
			this.drain = new DrainSchedule(nowMs, this.settings.maxEntryValidMs(), HOST_LIST_LAG_MS,
					latestMs - FINAL_ANSWERS_MS);
			this.server.drain(this.drain);
			this.operatorListeners.closeAfterResponses();
			this.scheduler.schedule(this.fleet::yieldLeadership);
			checkDrain(sink, latestMs);
		}));
	}

	private void checkDrain(MonoSink<Void> sink, long latestMs) {
		long nowMs = this.clock.nowMs();
		try {
			advanceDrain(nowMs);
		}
		catch (RuntimeException ex) {
			logger.atSevere().withCause(ex).log("A step of the drain failed; the drain goes on");
		}
		if (this.server.isDrained() && this.operatorListeners.isDrained() || nowMs >= latestMs) {
			logger.atInfo()
				.log("Drain finished after %d ms, aborting %d requests in flight; callers and hosts: %s; operators: %s",
						nowMs - this.drain.startedAtMs(), this.server.inFlight(), this.server.connections(),
						this.operatorListeners.report());
			sink.success();
			return;
		}
		this.scheduler.schedule(() -> checkDrain(sink, latestMs), DRAIN_CHECK_MS, TimeUnit.MILLISECONDS);
	}

	private void advanceDrain(long nowMs) {
		DrainSchedule.Phase phase = this.drain.phase(this.server.isDrained(), nowMs);
		if (!phase.acceptsRequests()) {
			this.server.drainConnections();
		}
		if (phase == DrainSchedule.Phase.STOPPABLE) {
			this.operatorListeners.drain();
		}
		if (nowMs >= this.drain.endAtMs()) {
			this.operatorListeners.drain();
			this.ending.tryEmitEmpty();
			this.server.endRequests();
		}
	}

	/**
	 * Stops the parts of the daemon and closes the connections that are left.
	 */
	public void stop() {
		List<Runnable> parts = List.of(this.server::stop, this.operatorListeners::closeNow, this.gossip::stop,
				this.fleet::stop, this.streams::stop);
		for (Runnable part : parts) {
			try {
				part.run();
			}
			catch (RuntimeException ex) {
				logger.atWarning().withCause(ex).log("A part of the daemon could not be stopped");
			}
		}
		logger.atInfo()
			.log("Daemon %s has stopped; callers and hosts: %s; operators: %s", this.settings.hostId(),
					this.server.connections(), this.operatorListeners.report());
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
