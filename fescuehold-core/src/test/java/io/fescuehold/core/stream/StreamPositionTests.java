package io.fescuehold.core.stream;

import java.util.List;
import java.util.SplittableRandom;

import io.fescuehold.core.stream.StreamPosition.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests that events are delivered without gaps and repeats.
 */
class StreamPositionTests {

	private static final int MAX_ARRIVALS = 200;

	private static final int MAX_POSITION = 20;

	@Test
	void dropsRepeatsAndDetectsGaps() {
		StreamPosition position = new StreamPosition(2);
		assertThat(position.accept(2)).isEqualTo(Verdict.REPEAT);
		assertThat(position.accept(3)).isEqualTo(Verdict.NEXT);
		assertThat(position.accept(5)).isEqualTo(Verdict.GAP);
		assertThat(position.last()).isEqualTo(3);
		assertThatIllegalArgumentException().isThrownBy(() -> new StreamPosition(-1));
	}

	@ParameterizedTest
	@MethodSource("io.fescuehold.core.TestSeeds#many")
	void deliveredPositionsAreConsecutiveInAnyOrderOfArrival(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<Integer> arrivals = random.ints(random.nextInt(MAX_ARRIVALS + 1), 1, MAX_POSITION + 1).boxed().toList();
		StreamPosition position = new StreamPosition(0);
		long delivered = 0;
		for (int arrival : arrivals) {
			if (position.accept(arrival) == Verdict.NEXT) {
				assertThat((long) arrival).isEqualTo(++delivered);
			}
		}
		assertThat(position.last()).isEqualTo(delivered);
	}

}
