package io.fescuehold.bench.overhead;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.config.ModelServerSpec;
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
import io.fescuehold.core.port.SharedState;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.http.RouterOptions;
import io.fescuehold.runtime.http.RouterPorts;
import io.fescuehold.runtime.http.RouterServer;
import io.fescuehold.runtime.http.port.Admission;
import io.fescuehold.runtime.http.port.EntrySelection;
import io.fescuehold.runtime.http.port.RetryAllowance;
import io.fescuehold.runtime.http.port.StreamHandover;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * One router in front of one backend server that responds immediately.
 */
final class OverheadFleet implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private final DisposableServer backend;

	private final RouterServer router;

	OverheadFleet(LoopResources loops, int tokens) {
		String chunk = "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":"
				+ "[{\"index\":0,\"delta\":{\"content\":\"word \"}}]}\n\n";
		this.backend = HttpServer.create()
			.runOn(loops)
			.host(LOOPBACK)
			.port(0)
			.route((routes) -> routes
				.post("/v1/chat/completions",
						(request, response) -> request.receive().then(chat(response, chunk, tokens)))
				.get("/item",
						(request, response) -> response.header("Content-Length", "2").sendString(Mono.just("{}"))))
			.bindNow();
		this.router = new RouterServer(RouterOptions.of(LOOPBACK, 0), ports(view(this.backend.port())),
				new MetricRegistry(), Schedulers.parallel(), System::currentTimeMillis, 1);
		this.router.start();
	}

	private static Mono<Void> chat(HttpServerResponse response, String chunk, int tokens) {
		Flux<String> events = Flux.range(1, tokens)
			.map((position) -> "id: " + position + "\n" + chunk)
			.concatWithValues("data: [DONE]\n\n");
		return response.sse().header("X-Stream-Id", "x1").sendString(events).then();
	}

	private static FleetView view(int port) {
		ModelServerSpec model = new ModelServerSpec(LOOPBACK, port, "fd", List.of("m"), ServerState.ACTIVE, true, true,
				1_000, 1_000, 1_000);
		ServiceSpec service = new ServiceSpec(1_000, null,
				new TreeMap<>(Map.of("s", new ServiceServerSpec(LOOPBACK, port, "fd", ServerState.ACTIVE, true))));
		return FleetView.EMPTY.with(new ShareConfig("share", 1, null, new TreeMap<>(Map.of("t", new TeamSpec(1, 0))),
				null, new TreeMap<>(Map.of("s", model)), new TreeMap<>(Map.of("items", service)), null, null));
	}

	private static RouterPorts ports(FleetView view) {
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
		EntrySelection entries = (chatId) -> new EntrySelection.EntryAnswer(List.of(), 1);
		return new RouterPorts("bench", views, Map::of, new UnsupportedSharedState(), new SingleServerPolicy(),
				Admission.OPEN, new NoRetryAllowance(), entries, StreamHandover.NONE);
	}

	int backendPort() {
		return this.backend.port();
	}

	int routerPort() {
		return this.router.port();
	}

	@Override
	public void close() {
		this.router.stop();
		this.backend.disposeNow();
	}

	/**
	 * Always chooses the only server.
	 */
	private static final class SingleServerPolicy implements PlacementPolicy {

		@Override
		public PlacementDecision place(PlacementRequest request, String share, FleetView view,
				Map<String, ServerLoad> loads, long nowMs) {
			return (request.excludedServerIds().isEmpty()) ? new PlacementDecision.Chosen("s", 0, null, "only")
					: new PlacementDecision.None();
		}

		@Override
		public void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
			// A single server leaves nothing to decide.
		}

		@Override
		public void cacheEvent(CacheEvent event, long nowMs) {
			// A single server leaves nothing to decide.
		}

	}

	/**
	 * Allows no retries, so that every failure is counted in the result.
	 */
	private static final class NoRetryAllowance implements RetryAllowance {

		@Override
		public void requestStarted() {
			// There is no retry budget to fill.
		}

		@Override
		public boolean tryRetry() {
			return false;
		}

	}

	/**
	 * Fails calls that run at most once, because the benchmark does not measure them.
	 */
	private static final class UnsupportedSharedState implements SharedState {

		@Override
		public Mono<CallOutcome> begin(String share, StateCommand.BeginCall command) {
			return Mono.error(new IllegalStateException("calls that run at most once are not supported"));
		}

		@Override
		public Mono<StateOutcome> apply(String share, StateCommand command) {
			return Mono.error(new IllegalStateException("calls that run at most once are not supported"));
		}

	}

}
