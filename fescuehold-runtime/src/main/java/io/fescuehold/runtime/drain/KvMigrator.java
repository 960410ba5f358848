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
 * Migrates the KV cache of chats from leaving model servers to active ones. A chat is
 * migrated if importing its cache is cheaper than a new prefill. Only one router migrates
 * the chats of a server. Chats that are not migrated in time are imported or prefilled
 * again with their next request. Plans and counters are modified only by one worker of
 * the scheduler.
 */
public final class KvMigrator implements StateDump {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long POLL_INTERVAL_MS = 500;

	private static final Duration IMPORT_TIMEOUT = Duration.ofSeconds(10);

	// Imports use a quarter of the throughput of the importing servers, so that the rest
	// remains available to requests.
	private static final double IMPORT_THROUGHPUT_FRACTION = 0.25;

	private static final int HTTP_OK = 200;

	private final String hostId;

	private final FleetViews views;

	private final Supplier<Collection<String>> routerIds;

	private final ModelServerPoller poller;

	private final HttpClient http;

	private final Consumer<CacheEvent> onMigrated;

	private final Scheduler.Worker worker;

	private final Scheduler scheduler;

	private final Map<String, Migration> migrations = new ConcurrentHashMap<>();

	private Disposable pollTask;

	/**
	 * Creates a migrator that is not started.
	 * @param hostId the id of this host
	 * @param views the configuration in force
	 * @param routerIds the host ids of the live routers
	 * @param poller reads the cache contents of a server from its cache events
	 * @param http the client for the import requests
	 * @param onMigrated receives a cache event of the new server for each migrated chat
	 * @param scheduler the clock and the source of the worker
	 */
	public KvMigrator(String hostId, FleetViews views, Supplier<Collection<String>> routerIds, ModelServerPoller poller,
			HttpClient http, Consumer<CacheEvent> onMigrated, Scheduler scheduler) {
		this.hostId = hostId;
		this.views = views;
		this.routerIds = routerIds;
		this.poller = poller;
		this.http = http;
		this.onMigrated = onMigrated;
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
	}

	/**
	 * Starts to poll the configuration for leaving servers.
	 */
	public void start() {
		this.pollTask = this.worker.schedulePeriodically(this::pollSafely, POLL_INTERVAL_MS, POLL_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops the migrator. The servers complete the imports that have started.
	 */
	public void stop() {
		if (this.pollTask != null) {
			this.pollTask.dispose();
		}
		this.worker.dispose();
	}

	private void pollSafely() {
		try {
			poll();
		}
		catch (RuntimeException ex) {
			// The scheduler does not run a periodic task again after an exception.
			logger.atWarning().withCause(ex).log("The KV cache migration failed; it is retried with the next poll");
		}
	}

	private void poll() {
		FleetView view = this.views.current();
		this.migrations.keySet().removeIf((serverId) -> !isLeaving(view, serverId));
		for (Map.Entry<String, FleetView.Owned<ModelServerSpec>> entry : view.modelServers().entrySet()) {
			String serverId = entry.getKey();
			if (isLeaving(view, serverId)
					&& PollAssignment.isPrimaryPoller(this.hostId, this.routerIds.get(), serverId)) {
				Migration migration = this.migrations.computeIfAbsent(serverId,
						(id) -> startMigration(id, entry.getValue().spec()));
				startMoves(view, migration);
			}
		}
	}

	private static boolean isLeaving(FleetView view, String serverId) {
		FleetView.Owned<ModelServerSpec> owned = view.modelServers().get(serverId);
		return owned != null && owned.spec().state() == ServerState.LEAVING;
	}

	private Migration startMigration(String serverId, ModelServerSpec spec) {
		Migration migration = new Migration(serverId, spec);
		readTokensByChat(migration, 0).subscribe((chats) -> this.worker.schedule(() -> plan(migration, chats)),
				(ex) -> logger.atWarning()
					.withCause(ex)
					.log("The cache events of leaving server %s cannot be read; "
							+ "its chats are imported or prefilled with their next request", serverId));
		return migration;
	}

	private Mono<Map<String, Long>> readTokensByChat(Migration migration, long after) {
		return this.poller.cacheEvents(migration.serverId, migration.spec, after).flatMap((events) -> {
			for (CacheEvent event : events.events()) {
				migration.tokensByChat.remove(event.chatId());
				if (event.tokens() > 0) {
					migration.tokensByChat.put(event.chatId(), event.tokens());
				}
			}
			return (events.lastSequence() > after && !events.events().isEmpty())
					? readTokensByChat(migration, events.lastSequence()) : Mono.just(migration.tokensByChat);
		});
	}

	private void plan(Migration migration, Map<String, Long> chats) {
		FleetView view = this.views.current();
		FleetView.Owned<ModelServerSpec> leaving = view.modelServers().get(migration.serverId);
		if (leaving == null) {
			return;
		}
		Map<String, Long> tokensPerSByTarget = new TreeMap<>();
		view.modelServers().forEach((id, server) -> {
			boolean isEligible = server.share().equals(leaving.share()) && server.spec().state() == ServerState.ACTIVE
					&& server.spec().models().containsAll(leaving.spec().models());
			if (isEligible) {
				tokensPerSByTarget.put(id, server.spec().tokensPerS());
			}
		});
		long nowMs = this.scheduler.now(TimeUnit.MILLISECONDS);
		double importTokensPerS = IMPORT_THROUGHPUT_FRACTION
				* tokensPerSByTarget.values().stream().mapToLong(Long::longValue).sum();
		// Cache events contain no timestamps, so all chats are treated as equally recent.
		migration.plan = new KvMigrationPlan(migration.serverId,
				chats.entrySet()
					.stream()
					.map((chat) -> new ChatContext(chat.getKey(), chat.getValue(), nowMs))
					.toList(),
				tokensPerSByTarget, importTokensPerS, nowMs);
		logger.atInfo()
			.log("Server %s is leaving; migrating %d of its %d chats", migration.serverId, migration.plan.waiting(),
					chats.size());
	}

	private void startMoves(FleetView view, Migration migration) {
		if (migration.plan == null) {
			return;
		}
		for (KvMove move : migration.plan.startMoves(this.scheduler.now(TimeUnit.MILLISECONDS))) {
			FleetView.Owned<ModelServerSpec> target = view.modelServers().get(move.toServerId());
			if (target == null) {
				migration.plan.recordEnd(move);
				continue;
			}
			requestImport(target.spec(), migration.spec, move).subscribe((done) -> this.worker.schedule(() -> {
				migration.plan.recordEnd(move);
				migration.moved++;
				this.onMigrated.accept(new CacheEvent(move.toServerId(), move.chatId(), move.tokens()));
			}), (ex) -> this.worker.schedule(() -> {
				migration.plan.recordEnd(move);
				migration.failed++;
			}));
		}
	}

	private Mono<Boolean> requestImport(ModelServerSpec target, ModelServerSpec source, KvMove move) {
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
			.timeout(IMPORT_TIMEOUT)
			.flatMap((response) -> (response.status().code() == HTTP_OK) ? Mono.just(true) : Mono
				.error(new IllegalStateException("The KV import failed with HTTP status " + response.status())));
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
