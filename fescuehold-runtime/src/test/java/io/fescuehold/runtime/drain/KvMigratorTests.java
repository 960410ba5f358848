package io.fescuehold.runtime.drain;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.port.FleetViews;
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
 * Guards against chats that lose their KV cache when their server leaves as planned, and
 * against the same migration being done by several routers.
 */
class KvMigratorTests {

	private static final String EVENTS = """
			{"events":[{"sequence":1,"chatId":"long","tokens":4000},{"sequence":2,"chatId":"gone","tokens":4000},
			 {"sequence":3,"chatId":"gone","tokens":0},{"sequence":4,"chatId":"short","tokens":50}],"lastSequence":4}
			""";

	private final List<String> importRequests = new CopyOnWriteArrayList<>();

	private final List<CacheEvent> migrated = new CopyOnWriteArrayList<>();

	private final Scheduler scheduler = Schedulers.newSingle("migrator-test");

	private DisposableServer server;

	@BeforeEach
	void startServer() {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.route((routes) -> routes
				.get("/cache/events", (request, response) -> response.sendString(
						Mono.just(request.uri().endsWith("after=0") ? EVENTS : "{\"events\":[],\"lastSequence\":4}")))
				.post("/kv/pull", (request, response) -> request.receive().aggregate().asString().flatMap((body) -> {
					this.importRequests.add(body);
					return response.status(200).send();
				})))
			.bindNow();
	}

	@AfterEach
	void stop() {
		this.server.disposeNow();
		this.scheduler.dispose();
	}

	@Test
	void firstRouterMigratesTheChatsThatAreCheaperToImport() throws InterruptedException {
		KvMigrator migrator = migrator("r1", List.of("r1"));
		migrator.start();
		for (int i = 0; i < 500 && this.migrated.isEmpty(); i++) {
			Thread.sleep(20);
		}
		migrator.stop();
		assertThat(this.importRequests).hasSize(1).first().asString().contains("\"chatId\":\"long\"");
		assertThat(this.migrated).containsExactly(new CacheEvent("stays", "long", 4_000));
	}

	@Test
	void exactlyOneOfTwoRoutersMigrates() throws InterruptedException {
		List<String> routers = List.of("r1", "r2");
		KvMigrator first = migrator("r1", routers);
		KvMigrator second = migrator("r2", routers);
		first.start();
		second.start();
		for (int i = 0; i < 500 && this.migrated.isEmpty(); i++) {
			Thread.sleep(20);
		}
		// Waits for two further polls of both routers, which must not start a second
		// import.
		Thread.sleep(1_200);
		first.stop();
		second.stop();
		assertThat(this.importRequests).hasSize(1);
	}

	private KvMigrator migrator(String hostId, List<String> routers) {
		ShareConfig config = ShareConfigBuilder.share("north")
			.modelServer("leaves", spec(ServerState.LEAVING))
			.modelServer("stays", spec(ServerState.ACTIVE))
			.build();
		return new KvMigrator(hostId, new FixedViews(FleetView.EMPTY.with(config)), () -> routers,
				new ModelServerPoller(HttpClient.create(), Duration.ofSeconds(2)), HttpClient.create(),
				this.migrated::add, this.scheduler);
	}

	private ModelServerSpec spec(ServerState state) {
		return new ModelServerSpec("127.0.0.1", this.server.port(), "a", List.of("clock"), state, true, true, 40_000, 8,
				100_000);
	}

	private record FixedViews(FleetView current) implements FleetViews {

		@Override
		public Flux<FleetView> changes() {
			return Flux.just(this.current);
		}

	}

}
