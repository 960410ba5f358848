package io.fescuehold.core.stream;

import java.util.List;

import io.fescuehold.core.stream.StreamPosition.Verdict;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against gaps and repeats in a stream.
 */
class StreamPositionTests {

	@Test
	void dropsRepeatsAndDetectsGaps() {
		StreamPosition position = new StreamPosition(2);
		assertThat(position.accept(2)).isEqualTo(Verdict.REPEAT);
		assertThat(position.accept(3)).isEqualTo(Verdict.NEXT);
		assertThat(position.accept(5)).isEqualTo(Verdict.GAP);
		assertThat(position.last()).isEqualTo(3);
		assertThatIllegalArgumentException().isThrownBy(() -> new StreamPosition(-1));
	}

	@Property(seed = "1")
	void deliveredPositionsAreConsecutiveInAnyOrderOfArrival(
			@ForAll @Size(max = 200) List<@IntRange(min = 1, max = 20) Integer> arrivals) {
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
