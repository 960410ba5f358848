package io.fescuehold.runtime.orders;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.port.SharedState;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.view.FleetView;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against orders that are sent outside their lease and against wrong results.
 */
class OrderDispatcherTests {

	private static final ServerOrder ORDER = new ServerOrder("m1", "loadModel", "clock");

	private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();

	private final List<String> fencingNumbers = new CopyOnWriteArrayList<>();

	private volatile int status = 200;

	private DisposableServer server;

	@BeforeEach
	void startServer() {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.route((routes) -> routes.post("/orders", (request, response) -> {
				this.fencingNumbers.add(request.requestHeaders().get("Fescuehold-Fencing-Number"));
				return (this.status == 0) ? Mono.never() : response.status(this.status).send();
			}))
			.bindNow();
	}

	@AfterEach
	void stopServer() {
		this.server.disposeNow();
	}

	@Test
	void sendsTheFencingNumberOfItsLease() {
		OrderResult result = dispatcher((state) -> state).send("north", ORDER).block(Duration.ofSeconds(5));
		assertThat(result.fencingNumber()).isEqualTo(7);
		assertThat(this.fencingNumbers).containsExactly("7");
	}

	@Test
	void serverThatHasSeenAHigherFencingNumberRefuses() {
		this.status = 412;
		assertRefused(dispatcher((state) -> state), ErrorCode.ORDER_REFUSED, RunStatus.NO);
	}

	@Test
	void sendsNothingWhileAnotherHostHoldsTheLease() {
		assertRefused(dispatcher((state) -> Mono.just(new StateOutcome.LeaseHeld("entry-2", 4_000))),
				ErrorCode.ORDER_HELD, RunStatus.NO);
		assertThat(this.fencingNumbers).isEmpty();
	}

	@Test
	void suspendedProcessSendsNothingAfterItsLease() {
		assertRefused(
				dispatcher(
						(state) -> state.doOnNext((granted) -> this.scheduler.advanceTimeBy(Duration.ofSeconds(20)))),
				ErrorCode.ORDER_HELD, RunStatus.NO);
		assertThat(this.fencingNumbers).isEmpty();
	}

	@Test
	void missingResponseIsReportedAsUnknownWhenTheUsableLeaseEnds() throws InterruptedException {
		this.status = 0;
		Mono<OrderResult> result = dispatcher((state) -> state).send("north", ORDER).cache();
		result.onErrorComplete().subscribe();
		for (int i = 0; i < 500 && this.fencingNumbers.isEmpty(); i++) {
			Thread.sleep(10);
		}
		this.scheduler.advanceTimeBy(Duration.ofSeconds(6));
		assertThatExceptionOfType(FescueholdException.class).isThrownBy(() -> result.block(Duration.ofSeconds(5)))
			.satisfies((ex) -> assertThat(ex.run()).isEqualTo(RunStatus.UNKNOWN));
	}

	private void assertRefused(OrderDispatcher dispatcher, ErrorCode code, RunStatus run) {
		assertThatExceptionOfType(FescueholdException.class)
			.isThrownBy(() -> dispatcher.send("north", ORDER).block(Duration.ofSeconds(5)))
			.satisfies((ex) -> {
				assertThat(ex.code()).isEqualTo(code);
				assertThat(ex.run()).isEqualTo(run);
			});
	}

	private OrderDispatcher dispatcher(UnaryOperator<Mono<StateOutcome>> leaseOutcomeMapper) {
		ShareConfig config = ShareConfigBuilder.share("north")
			.modelServer("m1",
					new ModelServerSpec("127.0.0.1", this.server.port(), "a", List.of("clock"), ServerState.ACTIVE,
							true, true, 1_000, 8, 10_000))
			.build();
		return new OrderDispatcher("entry-1", new FixedViews(FleetView.EMPTY.with(config)),
				new FixedState(leaseOutcomeMapper.apply(Mono.just(new StateOutcome.LeaseGranted(7, 10_000)))),
				this.scheduler);
	}

	private record FixedViews(FleetView current) implements FleetViews {

		@Override
		public Flux<FleetView> changes() {
			return Flux.just(this.current);
		}

	}

	private record FixedState(Mono<StateOutcome> outcome) implements SharedState {

		@Override
		public Mono<CallOutcome> begin(String share, StateCommand.BeginCall command) {
			return Mono.error(new IllegalStateException("No call is expected"));
		}

		@Override
		public Mono<StateOutcome> apply(String share, StateCommand command) {
			return this.outcome;
		}

	}

}
