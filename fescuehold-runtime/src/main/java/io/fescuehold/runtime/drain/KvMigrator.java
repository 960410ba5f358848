package io.fescuehold.runtime.drain;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.core.drain.ChatContext;
import io.fescuehold.core.drain.KvMigrationPlan;
import io.fescuehold.core.drain.KvMove;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.relay.PollAssignment;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.control.load.ModelServerPoller;
import io.netty.buffer.Unpooled;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;

/**
 * Moves the KV cache of valuable chats from leaving model servers to those that stay. One
 * router does the moves of a server; chats that are not moved in time are imported when
 * they return, or prefilled again. All state is confined to one worker of the scheduler.
 */
public final class KvMigrator implements StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long TICK_MS = 500;

	private static final Duration MOVE_TIMEOUT = Duration.ofSeconds(10);

	// A quarter of the speed of the importing servers leaves the rest to their requests.
	private static final double IMPORT_PORTION = 0.25;

	private static final int OK = 200;

	private final String hostId;

	private final FleetViews views;

	private final Supplier<Collection<String>> routerIds;

	private final ModelServerPoller poller;

	private final HttpClient http;

	private final Consumer<CacheEvent> learned;

	private final Scheduler.Worker worker;

	private final Scheduler scheduler;

	private final Map<String, Migration> migrations = new ConcurrentHashMap<>();

	private Disposable ticks;

	/**
	 * Creates a migrator that is not started.
	 * @param hostId the id of this host
	 * @param views the configuration in force
	 * @param routerIds the live routers
	 * @param poller reads the contents of a server's cache from its events
	 * @param http the client for the moves
	 * @param learned receives the new places of moved chats
	 * @param scheduler the clock and the thread
	 */
	public KvMigrator(String hostId, FleetViews views, Supplier<Collection<String>> routerIds, ModelServerPoller poller,
			HttpClient http, Consumer<CacheEvent> learned, Scheduler scheduler) {
		this.hostId = hostId;
		this.views = views;
		this.routerIds = routerIds;
		this.poller = poller;
		this.http = http;
		this.learned = learned;
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
	}

	/**
	 * Starts to watch for leaving servers.
	 */
	public void start() {
		this.ticks = this.worker.schedulePeriodically(this::tickSafely, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops; moves under way are completed by the servers.
	 */
	public void stop() {
		if (this.ticks != null) {
			this.ticks.dispose();
		}
		this.worker.dispose();
	}

	private void tickSafely() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			// A periodic task that throws is not run again.
			logger.atWarning().withCause(ex).log("The migration of KV caches failed; it goes on");
		}
	}

	private void tick() {
		FleetView view = this.views.current();
		this.migrations.keySet().removeIf((serverId) -> !isLeaving(view, serverId));
		for (Map.Entry<String, FleetView.Owned<ModelServerSpec>> entry : view.modelServers().entrySet()) {
			String serverId = entry.getKey();
			if (isLeaving(view, serverId) && PollAssignment.isFirst(this.hostId, this.routerIds.get(), serverId)) {
				Migration migration = this.migrations.computeIfAbsent(serverId,
						(id) -> begin(id, entry.getValue().spec()));
				startMoves(view, migration);
			}
		}
	}

	private static boolean isLeaving(FleetView view, String serverId) {
		FleetView.Owned<ModelServerSpec> owned = view.modelServers().get(serverId);
		return owned != null && owned.spec().state() == ServerState.LEAVING;
	}

	private Migration begin(String serverId, ModelServerSpec spec) {
		Migration migration = new Migration(serverId, spec);
		readChats(migration, 0)
			.subscribe((chats) -> this.worker.schedule(() -> plan(migration, chats)), (ex) -> logger.atWarning()
				.withCause(ex)
				.log("The cache of leaving server %s cannot be read; its chats are moved as they return", serverId));
		return migration;
	}

	private Mono<Map<String, Long>> readChats(Migration migration, long after) {
		return this.poller.cacheEvents(migration.serverId, migration.spec, after).flatMap((events) -> {
			for (CacheEvent event : events.events()) {
				migration.tokensByChat.remove(event.chatId());
				if (event.tokens() > 0) {
					migration.tokensByChat.put(event.chatId(), event.tokens());
				}
			}
			return (events.lastSequence() > after && !events.events().isEmpty())
					? readChats(migration, events.lastSequence()) : Mono.just(migration.tokensByChat);
		});
	}

	private void plan(Migration migration, Map<String, Long> chats) {
		FleetView view = this.views.current();
		FleetView.Owned<ModelServerSpec> leaving = view.modelServers().get(migration.serverId);
		if (leaving == null) {
			return;
		}
		Map<String, Long> targets = new TreeMap<>();
		view.modelServers().forEach((id, server) -> {
			boolean fits = server.share().equals(leaving.share()) && server.spec().state() == ServerState.ACTIVE
					&& server.spec().models().containsAll(leaving.spec().models());
			if (fits) {
				targets.put(id, server.spec().tokensPerS());
			}
		});
		long nowMs = this.scheduler.now(TimeUnit.MILLISECONDS);
		double rate = IMPORT_PORTION * targets.values().stream().mapToLong(Long::longValue).sum();
		// Events carry no time, so all chats count as equally recent.
		migration.plan = new KvMigrationPlan(migration.serverId,
				chats.entrySet()
					.stream()
					.map((chat) -> new ChatContext(chat.getKey(), chat.getValue(), nowMs))
					.toList(),
				targets, rate, nowMs);
		logger.atInfo()
			.log("Server %s leaves; %d of its %d chats are moved", migration.serverId, migration.plan.waiting(),
					chats.size());
	}

	private void startMoves(FleetView view, Migration migration) {
		if (migration.plan == null) {
			return;
		}
		for (KvMove move : migration.plan.next(this.scheduler.now(TimeUnit.MILLISECONDS))) {
			FleetView.Owned<ModelServerSpec> target = view.modelServers().get(move.toServerId());
			if (target == null) {
				migration.plan.ended(move);
				continue;
			}
			pull(target.spec(), migration.spec, move).subscribe((done) -> this.worker.schedule(() -> {
				migration.plan.ended(move);
				migration.moved++;
				this.learned.accept(new CacheEvent(move.toServerId(), move.chatId(), move.tokens()));
			}), (ex) -> this.worker.schedule(() -> {
				migration.plan.ended(move);
				migration.failed++;
			}));
		}
	}

	private Mono<Boolean> pull(ModelServerSpec target, ModelServerSpec source, KvMove move) {
		String body = MAPPER.createObjectNode()
			.put("chatId", move.chatId())
			.put("host", source.host())
			.put("port", source.port())
			.toString();
		return this.http.headers((headers) -> headers.set("Content-Type", "application/json"))
			.post()
			.uri("http://" + target.host() + ":" + target.port() + "/kv/pull")
			.send(Mono.fromSupplier(() -> Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)))
			.response()
			.timeout(MOVE_TIMEOUT)
			.flatMap((response) -> (response.status().code() == OK) ? Mono.just(true)
					: Mono.error(new IllegalStateException("The import was refused with " + response.status())));
	}

	@Override
	public String dumpName() {
		return "kv-migration";
	}

	@Override
	public Object dump() {
		Map<String, Map<String, Integer>> dump = new LinkedHashMap<>();
		Map.copyOf(this.migrations)
			.forEach((serverId, migration) -> dump.put(serverId, Map.of("moved", migration.moved, "failed",
					migration.failed, "waiting", (migration.plan != null) ? migration.plan.waiting() : 0)));
		return dump;
	}

	private static final class Migration {

		private final String serverId;

		private final ModelServerSpec spec;

		private final Map<String, Long> tokensByChat = new LinkedHashMap<>();

		private volatile KvMigrationPlan plan;

		private volatile int moved;

		private volatile int failed;

		Migration(String serverId, ModelServerSpec spec) {
			this.serverId = serverId;
			this.spec = spec;
		}

	}

}
