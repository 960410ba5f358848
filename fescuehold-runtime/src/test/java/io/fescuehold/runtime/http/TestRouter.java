package io.fescuehold.runtime.http;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.NonIdempotentRule;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ServiceServerSpec;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.http.port.Admission;
import io.fescuehold.runtime.http.port.EntrySelection;
import io.fescuehold.runtime.http.port.RetryAllowance;
import io.fescuehold.runtime.http.port.StreamHandover;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

/**
 * A router on the loopback address with scripted backend servers. Model servers are
 * selected in the order of their ids.
 */
final class TestRouter implements AutoCloseable {

	static final String CHAT = "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

	static final String NON_STREAMED_CHAT = CHAT.replace("true", "false");

	final MetricRegistry metrics = new MetricRegistry();

	final FakeSharedState state = new FakeSharedState();

	final AtomicLong clockOffsetMs = new AtomicLong();

	final AtomicInteger retriesLeft = new AtomicInteger(10);

	final List<String> outstandingServerIds = new CopyOnWriteArrayList<>();

	final List<String> handovers = new CopyOnWriteArrayList<>();

	final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	volatile FleetView view;

	private final RouterServer server;

	TestRouter(ScriptedServer... servers) {
		this(RouterOptions.of("127.0.0.1", 0).withTimes(600, 300, 200), servers);
	}

	TestRouter(RouterOptions options, ScriptedServer... servers) {
		this.view = view(servers);
		FleetViews views = new FleetViews() {

			@Override
			public FleetView current() {
				return TestRouter.this.view;
			}

			@Override
			public Flux<FleetView> changes() {
				return Flux.just(TestRouter.this.view).concatWith(Flux.never());
			}

		};
		RouterPorts ports = new RouterPorts("r1", views, Map::of, this.state, new FirstServerPlacement(),
				Admission.OPEN, new FixedRetryBudget(),
				(chatId) -> new EntrySelection.EntryAnswer(List.of("127.0.0.1:1"), 30_000),
				(router, serverId, streamId) -> {
					this.handovers.add(router + ";" + serverId + ";" + streamId);
					return StreamHandover.NONE.announce(router, serverId, streamId);
				});
		this.server = new RouterServer(options, ports, this.metrics, Schedulers.parallel(),
				() -> System.currentTimeMillis() + this.clockOffsetMs.get(), 1);
		this.server.start();
	}

	private static FleetView view(ScriptedServer... servers) {
		SortedMap<String, ModelServerSpec> modelServers = new TreeMap<>();
		SortedMap<String, ServiceServerSpec> serviceServers = new TreeMap<>();
		for (int i = 0; i < servers.length; i++) {
			modelServers.put("s" + i, new ModelServerSpec("127.0.0.1", servers[i].port(), "fd", List.of("m"),
					ServerState.ACTIVE, true, true, 1_000, 10, 1_000));
			serviceServers.put("s" + i,
					new ServiceServerSpec("127.0.0.1", servers[i].port(), "fd", ServerState.ACTIVE, true));
		}
		ServiceSpec depot = new ServiceSpec(3_000, List.of(new NonIdempotentRule("POST", "/orders")), serviceServers);
		return FleetView.EMPTY.with(new ShareConfig("north", 1, null, new TreeMap<>(Map.of("t", new TeamSpec(1, 0))),
				null, modelServers, new TreeMap<>(Map.of("depot", depot)), null, null));
	}

	RouterServer server() {
		return this.server;
	}

	HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.server.port() + path))
			.timeout(Duration.ofSeconds(20))
			.header("Fescuehold-Team", "t");
	}

	HttpRequest.Builder chat(String body) {
		return request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
	}

	HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	long metric(String name) {
		return this.metrics.counter("router." + name).getCount();
	}

	static String expectedText(int last) {
		StringBuilder text = new StringBuilder();
		for (int position = 1; position <= last; position++) {
			text.append('w').append(position).append(' ');
		}
		return text.toString();
	}

	static List<Integer> positions(String sse) {
		List<Integer> positions = new ArrayList<>();
		sse.lines()
			.filter((line) -> line.startsWith("id: "))
			.forEach((line) -> positions.add(Integer.parseInt(line.substring("id: ".length()))));
		return positions;
	}

	static String text(String sse) {
		StringBuilder text = new StringBuilder();
		sse.lines().filter((line) -> line.contains("\"content\":\"")).forEach((line) -> {
			int start = line.indexOf("\"content\":\"") + "\"content\":\"".length();
			text.append(line, start, line.indexOf('"', start));
		});
		return text.toString();
	}

	@Override
	public void close() {
		this.server.stop();
		this.client.close();
	}

	private final class FixedRetryBudget implements RetryAllowance {

		@Override
		public void requestStarted() {
		}

		@Override
		public boolean tryRetry() {
			return TestRouter.this.retriesLeft.getAndDecrement() > 0;
		}

	}

	private final class FirstServerPlacement implements PlacementPolicy {

		@Override
		public PlacementDecision place(PlacementRequest request, String share, FleetView view,
				Map<String, ServerLoad> loads, long nowMs) {
			String chosen = view.modelServers()
				.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().spec().models().contains(request.model()))
				.map(Map.Entry::getKey)
				.filter((id) -> !request.excludedServerIds().contains(id))
				.findFirst()
				.orElse(null);
			if (chosen == null) {
				return new PlacementDecision.None();
			}
			TestRouter.this.outstandingServerIds.add(chosen);
			return new PlacementDecision.Chosen(chosen, 0, null, "first");
		}

		@Override
		public void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
			TestRouter.this.outstandingServerIds.remove(serverId);
		}

		@Override
		public void cacheEvent(CacheEvent event, long nowMs) {
		}

	}

}
