package io.fescuehold.core.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that messages reach all hosts of a ring in few hops.
 */
class RingNeighboursTests {

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 7, 8, 9, 44, 351 })
	void messagesReachAllHostsInLogarithmicallyManyHops(int hosts) {
		List<String> ids = IntStream.range(0, hosts).mapToObj((index) -> "10.0.0." + index).toList();
		int maxHops = 32 - Integer.numberOfLeadingZeros(hosts);
		Set<String> reached = new HashSet<>(Set.of(ids.getFirst()));
		for (int hop = 0; hop < maxHops; hop++) {
			for (String from : List.copyOf(reached)) {
				List<String> neighbours = RingNeighbours.of(ids, from);
				assertThat(neighbours).doesNotContain(from).hasSizeLessThanOrEqualTo(Math.max(7, maxHops));
				reached.addAll(neighbours);
			}
		}
		assertThat(reached).hasSize(hosts);
	}

}
