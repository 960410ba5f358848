package io.fescuehold.runtime.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests deadlines of streams in virtual time: at the deadline the source is cancelled and
 * then the stream fails.
 */
class StreamDeadlineTests {

	private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();

	private final List<String> events = new ArrayList<>();

	@Test
	void sourceIsCancelledBeforeTheErrorIsCreated() {
		subscribeWithDeadline(Flux.<Long>never());
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		assertThat(this.events).containsExactly("cancelled", "created", "error late");
	}

	@Test
	void endlessStreamIsCancelledAtTheDeadline() {
		subscribeWithDeadline(Flux.interval(Duration.ofMillis(400), this.scheduler));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(5));
		assertThat(this.events).containsExactly("0", "1", "cancelled", "created", "error late");
	}

	@Test
	void streamThatEndsBeforeTheDeadlineIsUnchanged() {
		subscribeWithDeadline(Flux.just(1L, 2L));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(5));
		assertThat(this.events).containsExactly("1", "2", "complete");
	}

	private void subscribeWithDeadline(Flux<Long> source) {
		StreamDeadline.limit(source.doOnCancel(() -> this.events.add("cancelled")), Duration.ofSeconds(1), () -> {
			this.events.add("created");
			return new IllegalStateException("late");
		}, this.scheduler)
			.subscribe((item) -> this.events.add(String.valueOf(item)),
					(error) -> this.events.add("error " + error.getMessage()), () -> this.events.add("complete"));
	}

}
