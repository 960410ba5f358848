package io.fescuehold.core.routes;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the policy that the highest number wins.
 */
class RoutingStateTests {

	private final List<Long> inForce = new ArrayList<>();

	private final RoutingState state = new RoutingState((document) -> this.inForce.add(document.number()));

	@Test
	void higherNumberTakesEffectAndLowerOneDoesNot() {
		assertThat(submit(5, "a")).isEqualTo(SubmissionOutcome.ACCEPTED);
		assertThat(submit(9, "b")).isEqualTo(SubmissionOutcome.ACCEPTED);
		assertThat(submit(7, "c")).isEqualTo(SubmissionOutcome.OVERTAKEN);
		assertThat(submit(5, "a")).isEqualTo(SubmissionOutcome.OVERTAKEN);
		assertThat(this.inForce).containsExactly(5L, 9L);
	}

	@Test
	void sameContentIsAcknowledgedAgainAndOtherContentIsAConflict() {
		submit(5, "a");
		assertThat(submit(5, "a")).isEqualTo(SubmissionOutcome.REPEATED);
		assertThat(submit(5, "b")).isEqualTo(SubmissionOutcome.CONFLICT);
		assertThat(this.state.current().content()).isEqualTo("a".getBytes());
		assertThat(this.inForce).containsExactly(5L);
	}

	@Test
	void snapshotRestoresNumberSignatureAndContent() {
		submit(5, "a");
		RoutingState restored = new RoutingState((document) -> {
		});
		restored.restore(this.state.snapshot());
		assertThat(restored.current().number()).isEqualTo(5);
		assertThat(restored.outcomeOf(RoutingSamples.document(5, "a"))).isEqualTo(SubmissionOutcome.REPEATED);
		assertThat(restored.outcomeOf(RoutingSamples.document(5, "b"))).isEqualTo(SubmissionOutcome.CONFLICT);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void numberInForceNeverDecreasesUnderReorderedAndRepeatedSubmissions(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		long highest = 0;
		for (int step = 0; step < 500; step++) {
			long number = 1 + random.nextLong(Math.max(2, highest + 3));
			SubmissionOutcome outcome = submit(number, "content " + random.nextInt(2));
			assertThat(outcome == SubmissionOutcome.ACCEPTED).isEqualTo(number > highest);
			highest = Math.max(highest, number);
			assertThat(this.state.current().number()).isEqualTo(highest);
		}
		assertThat(this.inForce).isSorted().doesNotHaveDuplicates();
	}

	private SubmissionOutcome submit(long number, String content) {
		return RoutingState.outcome(this.state.apply(1, RoutingSamples.document(number, content).encode()));
	}

}
