package io.fescuehold.daemon.wiring;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.FleetHostSettings;
import io.fescuehold.daemon.settings.Role;
import io.fescuehold.daemon.settings.ShareSettings;
import io.fescuehold.runtime.control.ConfigFeed;
import io.fescuehold.runtime.control.ControlMessage;
import io.fescuehold.runtime.control.FeedMessage;
import io.fescuehold.runtime.control.FeedOptions;
import io.fescuehold.runtime.control.FeedStore;
import io.fescuehold.runtime.control.MessagePackStateCodec;
import io.fescuehold.runtime.control.SharedStateClient;
import io.fescuehold.runtime.fleet.FleetHost;
import io.fescuehold.runtime.fleet.FleetMessage;
import io.fescuehold.runtime.fleet.HostDirectory;
import io.fescuehold.runtime.fleet.HostListPoller;
import io.fescuehold.runtime.orders.OrderDispatcher;
import io.fescuehold.runtime.transport.PeerAddress;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import io.fescuehold.runtime.transport.TransportOptions;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The components of one daemon, connected according to its settings.
 */
public final class Node {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int TIMER_THREADS = 2;

	private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

	private final DaemonSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final Scheduler scheduler = Schedulers.newParallel("fescuehold-timer", TIMER_THREADS);

	private final TcpPeerTransport transport;

	private final HostDirectory hosts;

	private final HostListPoller hostList;

	private final ConfigFeed feed;

	private final SharedStateClient state;

	private final ReplicaRole replicas;

	private final RouterRole router;

	private final AdminRole admin;

	/** The only drain, which begins at the first subscription. */
	private final Mono<Void> drain = Mono.defer(this::drainParts).cache();

	/** Held while the daemon starts or stops its parts. */
	private final ReentrantLock lifecycle = new ReentrantLock();

	private volatile boolean stopping;

	private volatile boolean routerStarted;

	private boolean stopped;

	private Runnable drainRequest = () -> {
	};

	/**
	 * Creates a daemon without starting it.
	 * @param settings the checked settings
	 */
	public Node(DaemonSettings settings) {
		this.settings = settings;
		long seed = (settings.seed() != null) ? settings.seed() : System.nanoTime();
		this.transport = new TcpPeerTransport(transportOptions(settings), this.metrics, this.scheduler);
		this.transport.registerGroup(ControlMessage.class);
		this.transport.registerGroup(FeedMessage.class);
		this.transport.registerGroup(FleetMessage.class);
		this.hosts = new HostDirectory(settings.hostId(), fleet(settings), this.transport, this.scheduler);
		this.hostList = (settings.hostListUrl() != null)
				? new HostListPoller(settings.hostListUrl(), this.hosts::listLeaving, this.scheduler) : null;
		this.feed = new ConfigFeed(settings.hostId(), this.transport, new FleetUpstreams(settings.hostId(), this.hosts),
				feedStore(settings), this.scheduler, FeedOptions.DEFAULT);
		this.state = new SharedStateClient(this.transport, this::replicaHosts, this.feed, this.scheduler);
		this.replicas = settings.hasRole(Role.REPLICA) ? new ReplicaRole(settings, this.transport, this::replicaHosts,
				new MessagePackStateCodec(), this.feed, this.scheduler, this.metrics, seed) : null;
		this.router = settings.hasRole(Role.ROUTER) ? new RouterRole(settings, this.transport, this.feed, this.state,
				this.hosts, this.scheduler, this.metrics, seed) : null;
		this.admin = new AdminRole(settings, this.state, this.feed, this.metrics, dumps(), this::requestDrain,
				new OrderDispatcher(settings.hostId(), this.feed, this.state, this.scheduler));
	}

	private static TransportOptions transportOptions(DaemonSettings settings) {
		Map<String, PeerAddress> peers = new HashMap<>();
		for (FleetHostSettings host : settings.fleet()) {
			if (!host.hostId().equals(settings.hostId())) {
				int colon = host.peerAddress().lastIndexOf(':');
				peers.put(host.hostId(), new PeerAddress(host.peerAddress().substring(0, colon),
						Integer.parseInt(host.peerAddress().substring(colon + 1))));
			}
		}
		return new TransportOptions(settings.hostId(),
				new PeerAddress(settings.peers().address(), settings.peers().port()), peers);
	}

	private static List<FleetHost> fleet(DaemonSettings settings) {
		return settings.fleet()
			.stream()
			.map((host) -> new FleetHost(host.hostId(), host.failureDomain(),
					host.roles().contains(Role.ROUTER) ? host.callerAddress() : null,
					host.roles().contains(Role.REPLICA)))
			.toList();
	}

	private static FeedStore feedStore(DaemonSettings settings) {
		return (settings.dataFolder() != null) ? new FeedStore(Path.of(settings.dataFolder()).resolve("feed")) : null;
	}

	// Returns the hosts that may hold replicas of a share: the initial ones, then all
	// other hosts with the replica role, because membership changes may have moved the
	// group.
	private List<String> replicaHosts(String share) {
		Set<String> hostIds = new LinkedHashSet<>();
		this.settings.shares()
			.stream()
			.filter((known) -> known.share().equals(share))
			.map(ShareSettings::replicaHostIds)
			.forEach(hostIds::addAll);
		if (hostIds.isEmpty()) {
			return List.of();
		}
		this.settings.fleet()
			.stream()
			.filter((host) -> host.roles().contains(Role.REPLICA))
			.map(FleetHostSettings::hostId)
			.forEach(hostIds::add);
		return List.copyOf(hostIds);
	}

	private List<StateDump> dumps() {
		List<StateDump> dumps = new ArrayList<>(List.of(this.transport, this.hosts, this.feed));
		if (this.replicas != null) {
			dumps.addAll(this.replicas.dumps());
		}
		if (this.router != null) {
			dumps.addAll(this.router.dumps());
		}
		return dumps;
	}

	/**
	 * Sets the action to run when an operator requests a drain.
	 * @param newDrainRequest starts the drain
	 */
	public void onDrainRequest(Runnable newDrainRequest) {
		this.drainRequest = newDrainRequest;
	}

	private void requestDrain() {
		this.drainRequest.run();
	}

	/**
	 * Starts all components. If the daemon is asked to stop meanwhile, the remaining ones
	 * do not start.
	 * @return whether all components run
	 * @throws FescueholdException if a port is in use or the data folder is unusable
	 */
	public boolean start() {
		List<Runnable> parts = List.of(() -> this.transport.start().block(START_TIMEOUT), this.hosts::start,
				this::startHostList, this::startReplicas, this.feed::start, this::startRouter, this.admin::start);
		this.lifecycle.lock();
		try {
			for (Runnable part : parts) {
				if (this.stopping) {
					return false;
				}
				part.run();
			}
			return true;
		}
		catch (reactor.netty.ChannelBindException ex) {
			throw new FescueholdException(ErrorCode.BAD_SETTING, this.settings.hostId(), "/" + ex.localPort(),
					"the port cannot be bound (" + ex.getMessage() + "); stop the other process or use another port");
		}
		finally {
			this.lifecycle.unlock();
		}
	}

	private void startHostList() {
		if (this.hostList != null) {
			this.hostList.start();
		}
	}

	private void startReplicas() {
		if (this.replicas != null) {
			this.replicas.start().block(START_TIMEOUT);
		}
	}

	private void startRouter() {
		if (this.router != null) {
			this.routerStarted = true;
			this.router.start();
		}
	}

	/**
	 * Drains the daemon: directs callers to other routers and completes the requests in
	 * flight, then answers the requests of operators. Repeated calls do not start another
	 * drain.
	 * @return completes when no connection of a caller or operator is left
	 */
	public Mono<Void> drain() {
		return this.drain;
	}

	private Mono<Void> drainParts() {
		this.admin.closeConnections();
		Mono<Void> callersGone = this.routerStarted ? this.router.drain() : Mono.empty();
		return callersGone.then(Mono.defer(this.admin::drain))
			.doOnSuccess((nothing) -> logger.atInfo()
				.log("Drain finished; callers: %s; operators: %s",
						this.routerStarted ? this.router.connections() : "none", this.admin.connections()));
	}

	/**
	 * Drains and stops the daemon after a signal, also while it starts. Returns when the
	 * process may end.
	 */
	public void shutDown() {
		this.stopping = true;
		this.lifecycle.lock();
		try {
			if (!this.stopped) {
				drain().block();
			}
		}
		finally {
			stop();
			this.lifecycle.unlock();
		}
	}

	/**
	 * Stops all components and aborts the requests in flight. Repeated calls have no
	 * effect. Use {@link #shutDown()} for a graceful stop.
	 */
	public void stop() {
		this.lifecycle.lock();
		try {
			if (!this.stopped) {
				this.stopped = true;
				stopParts();
			}
		}
		finally {
			this.lifecycle.unlock();
		}
	}

	private void stopParts() {
		this.admin.stop();
		if (this.router != null) {
			this.router.stop();
		}
		this.feed.stop();
		if (this.replicas != null) {
			this.replicas.stop().timeout(STOP_TIMEOUT).onErrorComplete().block();
		}
		if (this.hostList != null) {
			this.hostList.stop();
		}
		this.hosts.stop();
		this.transport.close();
		this.scheduler.dispose();
	}

}
