package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.LoadReports;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.relay.DigestLink;
import io.fescuehold.core.relay.LinkBudget;
import io.fescuehold.core.relay.LoadDigest;
import io.fescuehold.core.relay.LoadScale;
import io.fescuehold.core.relay.PollAssignment;
import io.fescuehold.core.relay.RelayHost;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.control.load.LoadMessage;
import io.fescuehold.runtime.control.load.LoadNeighbours;
import io.fescuehold.runtime.control.load.ModelServerPoller;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Polls the model servers assigned to this router and exchanges load samples with its
 * neighbours in the relay tree. All state is confined to one worker of the scheduler;
 * readers see immutable maps.
 */
public final class LoadExchange implements LoadReports, StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long TICK_INTERVAL_MS = LinkBudget.MIN_INTERVAL_MS;

	private static final long LOAD_POLL_INTERVAL_MS = 500;

	private static final long CACHE_POLL_INTERVAL_MS = 2_000;

	private static final Duration SERVER_LIST_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_CACHED_SERVER_LISTS = 8;

	private final String hostId;

	private final FleetViews views;

	private final PeerTransport transport;

	private final Supplier<? extends Collection<RelayHost>> hosts;

	private final ModelServerPoller poller;

	private final Consumer<CacheEvent> cacheEvents;

	private final Scheduler scheduler;

	private final Scheduler.Worker worker;

	private final LoadNeighbours neighbours;

	private final Map<String, Link> links = new LinkedHashMap<>();

	private final Map<String, PollState> pollStates = new HashMap<>();

	private final Map<Integer, List<String>> serverListsByHash = new LinkedHashMap<>();

	private FleetView view = FleetView.EMPTY;

	private LoadDigest digest = new LoadDigest(List.of());

	private Disposable tickTask;

	private volatile Map<String, ServerLoad> reports = Map.of();

	/**
	 * Creates an exchange that is not started.
	 * @param hostId the id of this host
	 * @param views the configuration in force
	 * @param transport the connections to the other daemons
	 * @param hosts the routers that are alive, this host included, in any order
	 * @param poller the reader of the model servers' reports
	 * @param cacheEvents receives the cache events of the servers polled by this host, on
	 * the scheduler's thread
	 * @param scheduler provides the time and the thread of the exchange
	 */
	public LoadExchange(String hostId, FleetViews views, PeerTransport transport,
			Supplier<? extends Collection<RelayHost>> hosts, ModelServerPoller poller, Consumer<CacheEvent> cacheEvents,
			Scheduler scheduler) {
		this.hostId = hostId;
		this.views = views;
		this.transport = transport;
		this.hosts = hosts;
		this.poller = poller;
		this.cacheEvents = cacheEvents;
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
		this.neighbours = new LoadNeighbours(hostId);
	}

	/**
	 * Starts polling and exchanging.
	 */
	public void start() {
		this.transport.onMessage(LoadMessage.Samples.class, (from, message) -> {
			this.worker.schedule(() -> receive(from, message));
			return Mono.empty();
		});
		this.transport.onMessage(LoadMessage.ServersRequest.class, (from, message) -> serverList(message.listHash()));
		this.tickTask = this.worker.schedulePeriodically(this::tickSafely, 0, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops polling and exchanging; the last reports remain available.
	 */
	public void stop() {
		if (this.tickTask != null) {
			this.tickTask.dispose();
		}
		this.worker.dispose();
	}

	@Override
	public Map<String, ServerLoad> current() {
		return this.reports;
	}

	private void tickSafely() {
		try {
			tick(this.scheduler.now(TimeUnit.MILLISECONDS));
		}
		catch (RuntimeException ex) {
			// The scheduler does not run a periodic task again once it has thrown.
			logger.atWarning()
				.withCause(ex)
				.log("Load exchange of host %s failed; retrying at the next interval", this.hostId);
		}
	}

	private void tick(long nowMs) {
		updateView();
		Collection<RelayHost> alive = this.hosts.get();
		this.neighbours.update(alive);
		poll(alive.stream().map(RelayHost::hostId).toList(), nowMs);
		send(nowMs);
		publish();
	}

	private void updateView() {
		FleetView newest = this.views.current();
		if (newest == this.view) {
			return;
		}
		this.view = newest;
		List<String> serverIds = List.copyOf(newest.modelServers().keySet());
		if (!serverIds.equals(this.digest.serverIds())) {
			LoadDigest newDigest = new LoadDigest(serverIds);
			copy(this.digest, newDigest);
			this.digest = newDigest;
			this.links.clear();
			this.pollStates.keySet().retainAll(newest.modelServers().keySet());
		}
	}

	private static void copy(LoadDigest from, LoadDigest to) {
		Map<String, Integer> indexes = new HashMap<>();
		to.serverIds().forEach((id) -> indexes.put(id, indexes.size()));
		for (int index = 0; index < from.size(); index++) {
			Integer target = indexes.get(from.serverIds().get(index));
			if (target != null && from.isKnown(index)) {
				to.offer(target, from.step(index), from.isFull(index), from.sampledAtMs(index));
			}
		}
	}

	private void poll(List<String> routerIds, long nowMs) {
		List<String> serverIds = this.digest.serverIds();
		for (String serverId : PollAssignment.serversOf(this.hostId, routerIds, serverIds)) {
			ModelServerSpec spec = this.view.modelServers().get(serverId).spec();
			PollState state = this.pollStates.computeIfAbsent(serverId, (id) -> new PollState());
			if (nowMs - state.loadPolledAtMs >= LOAD_POLL_INTERVAL_MS) {
				state.loadPolledAtMs = nowMs;
				this.poller.load(spec)
					.subscribe((report) -> this.worker.schedule(() -> recordLoad(serverId, spec, report, nowMs)),
							(ex) -> logFailure(serverId, ex));
			}
			if (nowMs - state.eventsPolledAtMs >= CACHE_POLL_INTERVAL_MS) {
				state.eventsPolledAtMs = nowMs;
				this.poller.cacheEvents(serverId, spec, state.lastSequence)
					.subscribe((events) -> this.worker.schedule(() -> recordEvents(state, events)),
							(ex) -> logFailure(serverId, ex));
			}
		}
	}

	private static void logFailure(String sourceId, Throwable ex) {
		logger.atInfo()
			.atMostEvery((int) LOAD_POLL_INTERVAL_MS * 20, TimeUnit.MILLISECONDS)
			.log("No valid load data was received from %s: %s", sourceId, ex);
	}

	private void recordLoad(String serverId, ModelServerSpec spec, ModelServerPoller.Report report, long polledAtMs) {
		PollState state = this.pollStates.computeIfAbsent(serverId, (id) -> new PollState());
		int index = this.digest.serverIds().indexOf(serverId);
		if (index < 0 || report.reportedAtMs() == state.reportedAtMs) {
			return;
		}
		state.reportedAtMs = report.reportedAtMs();
		boolean isFull = report.runningRequests() >= spec.maxRunningRequests();
		this.digest.offer(index, LoadScale.step(report.outstandingTokens()), isFull, polledAtMs);
	}

	private void recordEvents(PollState state, ModelServerPoller.Events events) {
		// A lower sequence number means that the server restarted with an empty cache.
		state.lastSequence = events.lastSequence();
		events.events().forEach(this.cacheEvents);
	}

	private void send(long nowMs) {
		Collection<String> targets = this.neighbours.current(nowMs);
		this.links.keySet().retainAll(targets);
		// The link to the upstream host carries few samples and gets no share of the
		// budget.
		LinkBudget budget = LinkBudget.of(this.digest.size(), targets.size() - 1);
		for (String target : targets) {
			Link link = this.links.computeIfAbsent(target, (id) -> new Link(new DigestLink(this.digest)));
			if (nowMs - link.sentAtMs < budget.intervalMs()) {
				continue;
			}
			byte[] samples = link.samples.encode(nowMs, budget.maxBytes());
			if (samples != null || nowMs - link.sentAtMs >= SERVER_LIST_TIMEOUT.toMillis() / 2) {
				link.sentAtMs = nowMs;
				this.transport.send(target,
						new LoadMessage.Samples(this.digest.listHash(), (samples != null) ? samples : new byte[0]));
			}
		}
	}

	private void receive(String fromHostId, LoadMessage.Samples message) {
		long nowMs = this.scheduler.now(TimeUnit.MILLISECONDS);
		this.neighbours.heard(fromHostId, nowMs);
		if (message.samples().length == 0) {
			return;
		}
		try {
			if (message.listHash() == this.digest.listHash()) {
				this.links.computeIfAbsent(fromHostId, (id) -> new Link(new DigestLink(this.digest))).samples
					.decode(message.samples(), nowMs);
			}
			else {
				receiveWithSenderList(fromHostId, message, nowMs);
			}
		}
		catch (IllegalArgumentException ex) {
			logger.atWarning().withCause(ex).log("Load samples from host %s were dropped", fromHostId);
		}
	}

	private void receiveWithSenderList(String fromHostId, LoadMessage.Samples message, long nowMs) {
		List<String> serverIds = this.serverListsByHash.get(message.listHash());
		if (serverIds == null) {
			this.transport.request(fromHostId, new LoadMessage.ServersRequest(message.listHash()), SERVER_LIST_TIMEOUT)
				.ofType(LoadMessage.Servers.class)
				.subscribe((servers) -> this.worker.schedule(() -> storeServerList(servers)),
						(ex) -> logFailure(fromHostId, ex));
			return;
		}
		LoadDigest received = new LoadDigest(serverIds);
		new DigestLink(received).decode(message.samples(), nowMs);
		copy(received, this.digest);
	}

	private void storeServerList(LoadMessage.Servers servers) {
		while (this.serverListsByHash.size() >= MAX_CACHED_SERVER_LISTS) {
			this.serverListsByHash.remove(this.serverListsByHash.keySet().iterator().next());
		}
		this.serverListsByHash.put(servers.listHash(), servers.serverIds());
	}

	private Mono<LoadMessage.Servers> serverList(int listHash) {
		return Mono.<LoadMessage.Servers>create((sink) -> this.worker.schedule(() -> {
			if (listHash == this.digest.listHash()) {
				sink.success(new LoadMessage.Servers(listHash, this.digest.serverIds()));
			}
			else {
				// The list has changed since the request; the next samples carry the
				// new hash.
				sink.success();
			}
		}));
	}

	private void publish() {
		Map<String, ServerLoad> published = new HashMap<>();
		for (int index = 0; index < this.digest.size(); index++) {
			if (this.digest.isKnown(index)) {
				String serverId = this.digest.serverIds().get(index);
				int running = this.digest.isFull(index)
						? this.view.modelServers().get(serverId).spec().maxRunningRequests() : 0;
				published.put(serverId, new ServerLoad(serverId, LoadScale.tokens(this.digest.step(index)), running,
						this.digest.sampledAtMs(index)));
			}
		}
		this.reports = Map.copyOf(published);
	}

	@Override
	public String dumpName() {
		return "loadExchange";
	}

	@Override
	public Object dump() {
		return new ArrayList<>(this.reports.values());
	}

	private static final class Link {

		private final DigestLink samples;

		private long sentAtMs = Long.MIN_VALUE / 2;

		private Link(DigestLink samples) {
			this.samples = samples;
		}

	}

	private static final class PollState {

		private long loadPolledAtMs = Long.MIN_VALUE / 2;

		private long eventsPolledAtMs = Long.MIN_VALUE / 2;

		private long reportedAtMs = Long.MIN_VALUE;

		private long lastSequence;

	}

}
