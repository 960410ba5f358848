package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.relay.RelayHost;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.control.load.ModelServerPoller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against load reports that do not reach every router, that stop at a lost host in
 * the relay tree or that are dropped because two routers hold different server lists.
 */
class LoadExchangeTests {

	private static final int HOST_COUNT = 12;

	private static final int SERVER_COUNT = 5;

	private final AtomicLong outstanding = new AtomicLong(10_000);

	private final AtomicLong reportedAtMs = new AtomicLong();

	private final Map<String, Map<Class<?>, PeerHandler<PeerMessage>>> handlers = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<CacheEvent> events = new ConcurrentLinkedQueue<>();

	private final List<LoadExchange> exchanges = new ArrayList<>();

	private final Scheduler scheduler = Schedulers.newSingle("load-test");

	private final List<RelayHost> alive = new ArrayList<>();

	private DisposableServer server;

	@BeforeEach
	void startServer() {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.route((routes) -> routes
				.get("/load", (request, response) -> response.sendString(Mono.just("{\"outstandingTokens\":"
						+ this.outstanding.get() + ",\"runningRequests\":3,\"waitingRequests\":0,"
						+ "\"cacheUsedTokens\":5,\"reportedAtMs\":" + this.reportedAtMs.incrementAndGet() + "}")))
				.get("/cache/events",
						(request, response) -> response.sendString(Mono.just(request.uri().endsWith("after=0")
								? "{\"events\":[{\"sequence\":7,\"chatId\":\"c1\",\"tokens\":90}],\"lastSequence\":7}"
								: "{\"events\":[],\"lastSequence\":7}"))))
			.bindNow();
		for (int index = 0; index < HOST_COUNT; index++) {
			this.alive.add(new RelayHost("h" + index, "d" + index % 3, index < 1));
		}
	}

	@AfterEach
	void stop() {
		this.exchanges.forEach(LoadExchange::stop);
		this.server.disposeNow();
		this.scheduler.dispose();
	}

	private FleetView view(int servers) {
		SortedMap<String, ModelServerSpec> specs = new TreeMap<>();
		for (int index = 0; index < servers; index++) {
			specs.put("s" + index, new ModelServerSpec("127.0.0.1", this.server.port(), "d1", List.of("m1"),
					ServerState.ACTIVE, true, true, 1_000, 64, 1_000));
		}
		return FleetView.EMPTY.with(new ShareConfig("tarawera", 1, null, null, null, specs, null, null, null));
	}

	private LoadExchange start(String hostId, int servers) {
		FleetView view = view(servers);
		FleetViews views = new FleetViews() {

			@Override
			public FleetView current() {
				return view;
			}

			@Override
			public Flux<FleetView> changes() {
				return Flux.just(view);
			}

		};
		LoadExchange exchange = new LoadExchange(hostId, views, new LocalTransport(hostId),
				() -> List.copyOf(this.alive), new ModelServerPoller(HttpClient.create(), Duration.ofSeconds(1)),
				this.events::add, this.scheduler);
		this.exchanges.add(exchange);
		exchange.start();
		return exchange;
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (int attempt = 0; attempt < 400 && !condition.getAsBoolean(); attempt++) {
			Thread.sleep(20);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	@Test
	void reportsAndChangesReachEveryHost() throws InterruptedException {
		for (int index = 0; index < HOST_COUNT; index++) {
			start("h" + index, SERVER_COUNT);
		}
		await(() -> this.exchanges.stream().allMatch((exchange) -> exchange.current().size() == SERVER_COUNT));
		this.outstanding.set(30_000);
		await(() -> this.exchanges.stream()
			.allMatch((exchange) -> exchange.current()
				.values()
				.stream()
				.allMatch((load) -> load.outstandingTokens() > 28_000)));
		assertThat(this.events).contains(new CacheEvent("s0", "c1", 90));
	}

	@Test
	void reportsBypassASilentRoot() throws InterruptedException {
		// The host list still contains the lost host, as it does for up to 10 s after a
		// loss.
		List<RelayHost> hostsWithTwoRoots = new ArrayList<>();
		for (int index = 0; index < HOST_COUNT; index++) {
			hostsWithTwoRoots.add(new RelayHost("h" + index, "d" + index % 3, index < 2));
		}
		this.alive.clear();
		this.alive.addAll(hostsWithTwoRoots);
		for (int index = 1; index < HOST_COUNT; index++) {
			start("h" + index, SERVER_COUNT);
		}
		await(() -> this.exchanges.stream().allMatch((exchange) -> exchange.current().size() == SERVER_COUNT));
	}

	@Test
	void hostsWithDifferentServerListsExchangeReports() throws InterruptedException {
		this.alive.clear();
		this.alive.add(new RelayHost("h0", "d0", true));
		this.alive.add(new RelayHost("h1", "d1", false));
		this.alive.add(new RelayHost("h2", "d2", false));
		start("h0", SERVER_COUNT);
		start("h1", SERVER_COUNT - 1);
		start("h2", SERVER_COUNT);
		await(() -> this.exchanges.get(1).current().size() == SERVER_COUNT - 1
				&& this.exchanges.get(2).current().size() == SERVER_COUNT);
	}

	/**
	 * Delivers messages within the process.
	 */
	private final class LocalTransport implements PeerTransport {

		private final String hostId;

		private LocalTransport(String hostId) {
			this.hostId = hostId;
		}

		@Override
		public void send(String to, PeerMessage message) {
			request(to, message, Duration.ofSeconds(1)).subscribe((reply) -> {
			}, (ex) -> {
			});
		}

		@Override
		public Mono<PeerMessage> request(String to, PeerMessage message, Duration timeout) {
			PeerHandler<PeerMessage> handler = LoadExchangeTests.this.handlers.getOrDefault(to, Map.of())
				.get(message.getClass());
			return (handler != null) ? handler.handle(this.hostId, message).cast(PeerMessage.class)
					: Mono.error(new IllegalStateException(to + " cannot be reached"));
		}

		@Override
		@SuppressWarnings("unchecked")
		public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
			LoadExchangeTests.this.handlers.computeIfAbsent(this.hostId, (id) -> new HashMap<>())
				.put(type, (PeerHandler<PeerMessage>) handler);
		}

	}

}
