package io.fescuehold.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which hosts a daemon without a known leader asks.
 */
class LeaderSearchTests {

	private static final List<String> VOTERS = List.of("v1", "v2", "v3", "v4", "v5");

	private final LeaderSearch search = new LeaderSearch(new SplittableRandom(1));

	@Test
	void possibleVotersAreAskedConcurrentlyWithOneOtherHost() {
		List<String> asked = this.search.next(VOTERS, others(346), Set.of());
		assertThat(asked.subList(0, LeaderSearch.MAX_VOTERS_IN_FLIGHT)).isSubsetOf(VOTERS).doesNotHaveDuplicates();
		assertThat(asked).hasSize(LeaderSearch.MAX_VOTERS_IN_FLIGHT + 1);
	}

	@Test
	void unansweredHostsDoNotDelayTheOthers() {
		Set<String> silent = Set.of("v1", "v2");
		Set<String> asked = new HashSet<>(silent);
		Set<String> reached = new HashSet<>();
		for (int round = 0; round < 3; round++) {
			reached.addAll(this.search.next(VOTERS, List.of(), asked));
		}
		assertThat(reached).containsExactlyInAnyOrder("v3", "v4", "v5");
	}

	@Test
	void nobodyIsAskedWhileEnoughAnswersAreAwaited() {
		Set<String> asked = new HashSet<>(this.search.next(VOTERS, others(10), Set.of()));
		assertThat(this.search.next(VOTERS, others(10), asked)).isEmpty();
	}

	@Test
	void everyOtherHostIsAskedInTurn() {
		Set<String> reached = new HashSet<>();
		for (int round = 0; round < 40; round++) {
			reached.addAll(this.search.next(List.of(), others(40), Set.of()));
		}
		assertThat(reached).hasSize(40);
	}

	@Test
	void daemonsBeginWithDifferentVoters() {
		Set<String> first = new HashSet<>();
		for (int seed = 0; seed < 40; seed++) {
			first.add(new LeaderSearch(new SplittableRandom(seed)).next(VOTERS, List.of(), Set.of()).getFirst());
		}
		assertThat(first).containsExactlyInAnyOrderElementsOf(VOTERS);
	}

	@Test
	void hostThatIsNoLongerKnownIsNotAsked() {
		this.search.next(VOTERS, List.of(), Set.of());
		List<String> asked = new ArrayList<>();
		for (int round = 0; round < 5; round++) {
			asked.addAll(this.search.next(List.of("v1"), List.of(), Set.of()));
		}
		assertThat(asked).containsOnly("v1");
	}

	private static List<String> others(int count) {
		return IntStream.range(0, count).mapToObj((number) -> "o" + number).toList();
	}

}
