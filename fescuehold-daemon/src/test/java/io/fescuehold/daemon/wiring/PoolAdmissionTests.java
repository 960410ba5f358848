package io.fescuehold.daemon.wiring;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.core.port.FleetViews;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.http.port.Admission;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that bypass the queue or wait although a slot is free.
 */
class PoolAdmissionTests {

	private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();

	private final PoolAdmission admission = new PoolAdmission(new OneServer(), Map::of, () -> 1, this.scheduler, 1);

	private final List<String> admitted = new ArrayList<>();

	private final List<Admission.Permit> permits = new ArrayList<>();

	@Test
	void releasedSlotGoesToTheQueuedRequestAndNotToANewOne() {
		request("first");
		request("waiting");
		assertThat(this.admitted).containsExactly("first");
		this.permits.getFirst().release(10);
		assertThat(this.admitted).containsExactly("first", "waiting");
		request("new");
		assertThat(this.admitted).containsExactly("first", "waiting");
	}

	@Test
	void queuedRequestIsRefusedAfterMaximumQueueTime() {
		this.admission.start();
		request("first");
		List<Throwable> errors = new ArrayList<>();
		this.admission.admit(newRequest()).subscribe((permit) -> this.admitted.add("late"), errors::add);
		this.scheduler.advanceTimeBy(Duration.ofMillis(2_100));
		assertThat(errors).hasSize(1);
		assertThat(this.admitted).containsExactly("first");
	}

	private void request(String name) {
		this.admission.admit(newRequest()).subscribe((permit) -> {
			this.admitted.add(name);
			this.permits.add(permit);
		});
	}

	private static Admission.Request newRequest() {
		return new Admission.Request("team", "north", "clock", 100, 5, Long.MAX_VALUE);
	}

	private record OneServer() implements FleetViews {

		@Override
		public FleetView current() {
			return FleetView.EMPTY.with(ShareConfigBuilder.share("north")
				.team("team", new TeamSpec(1, 0))
				.modelServer("m1",
						new ModelServerSpec("127.0.0.1", 1, "a", List.of("clock"), ServerState.ACTIVE, true, true,
								1_000, 1, 1_000))
				.build());
		}

		@Override
		public Flux<FleetView> changes() {
			return Flux.just(current());
		}

	}

}
