package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.evacuation.EvacuationOrder;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.membership.HostTable;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.runtime.replica.AgreementTransport;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Membership of this daemon in a fleet whose daemons discover each other. The daemon
 * continuously pulls updates from the leader: each reply confirms the configuration and
 * carries changes of the server list and of the live daemons and the load caused by the
 * other daemons. On a host with a disk it also runs a replica, and serves the pulls of
 * the others while that replica leads.
 * <p>
 * All state is confined to the thread of the scheduler.
 */
public final class Fleet implements StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long TICK_INTERVAL_MS = 100;

	/** Short compared with an election, yet cheap because a check only reads a flag. */
	private static final long LEADER_CHECK_INTERVAL_MS = 20;

	/** Limits the rate of pulls while updates arrive in quick succession. */
	private static final long MIN_PULL_INTERVAL_MS = 20;

	/** Requests the hosts, whatever their current revision. */
	private static final long NO_REVISION = -1;

	private final FleetOptions options;

	private final PeerTransport transport;

	private final Scheduler scheduler;

	private final LongSupplier clockMs;

	private final FleetListener listener;

	private final LeaderCalls leaderCalls;

	private final ServerListReader listReader;

	private final RandomGenerator random;

	private final long incarnation;

	private final RoutingReplica replica;

	private final HostTable hosts;

	private final FleetHub hub;

	private final Supplier<HostState> ownState;

	private final Counter announcements;

	private GroupFormation formation;

	private final ConfigurationInForce configuration;

	private final EvacuationsInForce evacuations;

	private ServerList servers = ServerList.EMPTY;

	private long hostsRevision = NO_REVISION;

	private String leaderHostId;

	private final PullTargets targets;

	private long lastContactMs;

	private boolean leaderCheckScheduled;

	private boolean stopped;

	private Disposable ticker;

	/** The scheduled next pull, or null. */
	private Disposable nextPull;

	/**
	 * Creates the membership without starting it.
	 * @param options the options
	 * @param transport the connections to the other daemons
	 * @param agreement the transport for messages of the replicas
	 * @param scheduler the thread that owns all state; its clock includes suspensions
	 * @param listSource the source of the server list
	 * @param listener the listener for updates
	 * @param ownState supplies the state of this daemon
	 * @param metrics the registry of the metrics
	 * @param random the source of random choices
	 * @param incarnation a number that grows with each start of the process
	 */
	public Fleet(FleetOptions options, PeerTransport transport, AgreementTransport agreement, Scheduler scheduler,
			ServerListSource listSource, FleetListener listener, Supplier<HostState> ownState, MetricRegistry metrics,
			RandomGenerator random, long incarnation) {
		this.options = options;
		this.transport = transport;
		this.scheduler = scheduler;
		this.clockMs = () -> scheduler.now(TimeUnit.MILLISECONDS);
		this.configuration = new ConfigurationInForce(listener, this.clockMs, this::onConfigurationTaken);
		this.evacuations = new EvacuationsInForce(listener, this.clockMs);
		this.listReader = new ServerListReader(listSource, options.timing(), scheduler, random, this::onListRead);
		this.listener = listener;
		this.ownState = ownState;
		this.announcements = metrics.counter("fleet.announcements");
		this.random = random;
		this.incarnation = incarnation;
		this.hosts = new HostTable(options.timing().silenceMs());
		this.targets = new PullTargets(options.hostId(), this.hosts, random);
		this.replica = (options.dataFolder() != null) ? new RoutingReplica(options, agreement, scheduler, metrics,
				(document) -> onAccepted(() -> this.configuration.take(document, "the own replica")),
				(orders) -> onAccepted(() -> this.evacuations.take(orders, "the own replica")), random.nextLong())
				: null;
		this.leaderCalls = new LeaderCalls(transport, scheduler, this::knownLeader, this.replica, options.timing(),
				this.configuration, this.evacuations);
		this.hub = new FleetHub(options, this.replica, this.hosts, this.configuration, this.evacuations);
		setSeeds(options.seeds());
	}

	/**
	 * Starts pulling and answering messages.
	 */
	public void start() {
		SyncHandlers handlers = new SyncHandlers(this.transport, this.scheduler);
		handlers.on(SyncMessage.Pull.class, (pull) -> {
			Mono<SyncMessage.News> answer = this.hub.handle(pull, knownLeader(), this.clockMs.getAsLong());
			scheduleLeaderCheck();
			pullIfNewer(pull);
			return answer;
		});
		handlers.onCallsToReplica(this.hub, this.replica);
		handlers.on(SyncMessage.Leading.class, (leading) -> {
			onLeaderAnnounced(leading.hostId());
			return Mono.empty();
		});
		this.scheduler.schedule(() -> {
			this.lastContactMs = this.clockMs.getAsLong();
			this.formation = new GroupFormation(this.options, this.transport, this.scheduler, this.lastContactMs);
			if (this.replica != null) {
				this.replica.start();
			}
			this.ticker = this.scheduler.schedulePeriodically(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS,
					TimeUnit.MILLISECONDS);
			pull();
		});
	}

	/**
	 * Replaces the seeds, which are the daemons that are contacted first.
	 * @param hostIds the host ids
	 */
	public void setSeeds(List<String> hostIds) {
		this.targets.setSeeds(hostIds);
	}

	/**
	 * Returns the time since the last reply of the leader.
	 * @return the time in milliseconds
	 */
	public long silenceMs() {
		return this.clockMs.getAsLong() - this.lastContactMs;
	}

	/**
	 * Returns the live daemons.
	 * @return the daemons
	 */
	public List<HostRecord> hosts() {
		return this.hosts.hosts();
	}

	/**
	 * Submits a configuration. An outcome that acknowledges it is only returned once this
	 * daemon obeys the configuration or a newer one.
	 * @param submission the configuration
	 * @return the outcome; errors if no leader replies in time or this daemon cannot put
	 * the configuration in force, in which case it may or may not take effect
	 */
	public Mono<SubmissionOutcome> submit(RoutingDocument submission) {
		return this.leaderCalls.submit(submission);
	}

	/**
	 * Gives an order to evacuate a failure domain. It is acknowledged once it is
	 * committed and this daemon obeys it.
	 * @param order the order
	 * @return the evacuations; errors if no leader replies in time, in which case the
	 * order may or may not take effect
	 */
	public Mono<Evacuations> evacuate(EvacuationOrder order) {
		return this.leaderCalls.evacuate(order);
	}

	/**
	 * Reads the newest configuration, which is also put in force.
	 * @return the configuration; errors if no leader replies in time
	 */
	public Mono<RoutingDocument> readNewest() {
		return this.leaderCalls.readNewest();
	}

	private String knownLeader() {
		if (this.hub.isLeading()) {
			return this.options.hostId();
		}
		String fromReplica = (this.replica != null) ? this.replica.leaderHostId() : null;
		return (this.leaderHostId != null) ? this.leaderHostId : fromReplica;
	}

	private void onConfigurationTaken() {
		this.hub.releaseOutdated();
	}

	private void onAccepted(Runnable take) {
		this.scheduler.schedule(() -> {
			if (this.configuration.isConfirmedOnce()) {
				take.run();
			}
			this.hub.releaseUpdated();
		});
	}

	// Pulls that are held until a leader is known must not wait for the next tick.
	private void scheduleLeaderCheck() {
		if (!this.leaderCheckScheduled && knownLeader() == null) {
			this.leaderCheckScheduled = true;
			this.scheduler.schedule(() -> {
				this.leaderCheckScheduled = false;
				tickHub(this.clockMs.getAsLong());
				if (this.hub.hasHeldPulls()) {
					scheduleLeaderCheck();
				}
			}, LEADER_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
		}
	}

	// The first announcement is sent to all known hosts before any held pull is answered,
	// because a host that has sent a pull counts as informed.
	private void tickHub(long nowMs) {
		this.hub.tick(knownLeader(), nowMs);
		this.hub.announcementTargets(nowMs)
			.forEach((hostId) -> this.transport.send(hostId, new SyncMessage.Leading(this.options.hostId())));
	}

	private void tick() {
		long nowMs = this.clockMs.getAsLong();
		TaskGuard.run("observe this host", () -> this.hosts.observe(ownRecord(), nowMs));
		TaskGuard.run("answer held pulls", () -> tickHub(nowMs));
		TaskGuard.run("form the group",
				() -> this.formation.tick(this.hosts.hosts(),
						(this.replica != null) ? this.replica.initialHostIds() : List.of(),
						this.replica != null && this.replica.isOpen(), knownLeader() != null, nowMs));
		if (this.replica != null) {
			TaskGuard.run("change the voters", () -> this.replica.reconcileVoters(this.hub.liveHosts(), nowMs));
		}
		TaskGuard.run("read the server list", () -> this.listReader.tick(this.hub.isLeading(), silenceMs(), nowMs));
	}

	// The announcement is not proof of leadership: the reply to the next pull confirms it
	// or names another leader.
	private void onLeaderAnnounced(String hostId) {
		this.announcements.inc();
		if (!this.hub.isLeading()) {
			setLeader(hostId);
			schedulePull(0);
		}
	}

	private void onListRead(List<BackendServer> read) {
		if (this.hub.isNew(read, this.clockMs.getAsLong())) {
			applyServers(new ServerList(1 + this.random.nextLong(Long.MAX_VALUE - 1), read));
		}
	}

	private void applyServers(ServerList list) {
		this.listener.onServers(list);
		this.servers = list;
		logger.atInfo()
			.log("Server list %d has %d servers, %d of them leaving", list.revision(), list.servers().size(),
					list.servers().stream().filter(BackendServer::leaving).count());
		this.hub.setServers(list, this.clockMs.getAsLong());
	}

	private void pull() {
		this.nextPull = null;
		if (this.stopped) {
			return;
		}
		String leader = knownLeader();
		if (leader != null && !this.targets.isPending(leader)) {
			sendPull(leader);
		}
		// A disconnected replica may name a leader that has failed long ago.
		if (leader == null || silenceMs() >= this.options.timing().silenceMs()) {
			this.targets.next().forEach(this::sendPull);
			schedulePull(
					this.options.timing().pullPauseMs() + this.random.nextLong(this.options.timing().pullPauseMs()));
		}
	}

	// A daemon that holds a newer configuration than this one does not wait for the next
	// pull of this one.
	private void pullIfNewer(SyncMessage.Pull received) {
		String sender = received.sender().hostId();
		if (received.number() > this.configuration.number() && this.configuration.isConfirmedOnce()
				&& knownLeader() == null && !this.targets.isPending(sender)) {
			sendPull(sender);
		}
	}

	private void sendPull(String target) {
		this.targets.begin(target);
		long askedAtMs = this.clockMs.getAsLong();
		long heldNumber = this.configuration.number();
		Mono.defer(() -> this.transport.request(target, createPull(target, heldNumber),
				Duration.ofMillis(this.options.timing().pullTimeoutMs())))
			.cast(SyncMessage.News.class)
			.switchIfEmpty(Mono.error(() -> new FescueholdException(ErrorCode.NOT_LEADER, "unknown")))
			.publishOn(this.scheduler)
			.subscribe((news) -> {
				this.targets.end(target);
				if (!TaskGuard.run("process the answer of host " + target,
						() -> onNews(target, news, heldNumber, askedAtMs))) {
					schedulePull(this.options.timing().holdMs());
				}
			}, (error) -> onPullFailed(target, error));
	}

	// Prompt parts are only reported to the leader; other daemons would discard them.
	private SyncMessage.Pull createPull(String target, long heldNumber) {
		Map<String, Set<String>> partsRead = target.equals(knownLeader()) ? this.listener.takePartsRead() : Map.of();
		return new SyncMessage.Pull(ownRecord(), heldNumber, this.servers.revision(), this.hostsRevision,
				this.listener.ownRequests(), partsRead, this.evacuations.revision(), this.listener.ownMemory());
	}

	private HostRecord ownRecord() {
		return new HostRecord(this.options.hostId(), this.options.failureDomain(), this.incarnation,
				(this.replica != null) ? this.replica.storeId() : null, this.ownState.get());
	}

	private void onNews(String from, SyncMessage.News news, long heldNumber, long askedAtMs) {
		long nowMs = this.clockMs.getAsLong();
		if (!news.current()) {
			onRedirect(from, news, nowMs);
			return;
		}
		setLeader(from);
		this.lastContactMs = nowMs;
		if (this.replica != null) {
			this.replica.openAsStandby();
		}
		// Before the configuration counts as confirmed, after which requests are served.
		this.evacuations.take(news.evacuations(), "leader " + from);
		boolean obeyed = this.configuration.takeNews(from, news, heldNumber, askedAtMs);
		if (news.servers() != null && news.servers().revision() != this.servers.revision()) {
			applyServers(news.servers());
		}
		if (news.hosts() != null) {
			if (!this.hub.isLeading()) {
				this.hosts.replaceAll(news.hosts(), nowMs);
			}
			this.listener.onHosts(news.hosts());
			this.hostsRevision = news.hostsRevision();
		}
		this.listener.onOtherRequests(news.otherRequests());
		this.listener.onOtherMemory(news.otherMemory());
		this.listener.onPartsRead(news.otherPartsRead());
		schedulePull(obeyed ? Math.max(0, MIN_PULL_INTERVAL_MS - (nowMs - askedAtMs)) : this.options.timing().holdMs());
	}

	// The named leader may be outdated, so the search continues while that leader is
	// queried.
	private void onRedirect(String from, SyncMessage.News news, long nowMs) {
		if (!this.hub.isLeading() && news.hosts() != null) {
			news.hosts().forEach((host) -> this.hosts.observe(host, nowMs));
		}
		if (this.configuration.isConfirmedOnce()) {
			this.evacuations.take(news.evacuations(), "host " + from);
			if (news.document() != null) {
				this.configuration.take(RoutingDocument.decode(news.document()), "host " + from);
			}
		}
		if (from.equals(this.leaderHostId)) {
			setLeader(null);
		}
		String named = news.leaderHostId();
		if (knownLeader() == null && named != null && !named.equals(from) && !this.targets.isPending(named)) {
			sendPull(named);
		}
		ensurePullScheduled();
	}

	private void ensurePullScheduled() {
		if (this.nextPull == null) {
			schedulePull(this.options.timing().pullPauseMs());
		}
	}

	private void onPullFailed(String target, Throwable error) {
		this.targets.end(target);
		logger.atInfo()
			.atMostEvery(1, TimeUnit.SECONDS)
			.log("Host %s does not respond; the last contact with the leader was %d ms ago: %s", target, silenceMs(),
					error.getMessage());
		if (target.equals(this.leaderHostId)) {
			setLeader(null);
		}
		ensurePullScheduled();
	}

	private void setLeader(String hostId) {
		if (!Objects.equals(hostId, this.leaderHostId)) {
			logger.atInfo().log("The leader is now %s, previously %s", hostId, this.leaderHostId);
			this.leaderHostId = hostId;
			this.hostsRevision = NO_REVISION;
		}
	}

	private void schedulePull(long delayMs) {
		if (this.nextPull != null) {
			this.nextPull.dispose();
		}
		this.nextPull = this.scheduler.schedule(this::pull, delayMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Transfers leadership to another host if this one leads.
	 */
	public void yieldLeadership() {
		if (this.replica != null) {
			this.replica.yieldLeadership();
		}
	}

	/**
	 * Stops pulling and closes the replica. Must not be called on the thread of the
	 * scheduler.
	 */
	public void stop() {
		this.stopped = true;
		if (this.ticker != null) {
			this.ticker.dispose();
		}
		if (this.replica != null) {
			this.replica.stop();
		}
	}

	@Override
	public String dumpName() {
		return "fleet";
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("hostId", this.options.hostId());
		dump.put("leader", knownLeader());
		dump.put("silenceMs", silenceMs());
		dump.put("configuration", this.configuration.number());
		dump.put("evacuations", this.evacuations.current());
		dump.put("servers", this.servers);
		dump.put("hosts", this.hosts.hosts());
		dump.put("replica", (this.replica != null) ? this.replica.dump() : "no disk");
		return dump;
	}

}
