package io.fescuehold.core.drain;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a shutdown does not end while entry answers are valid or requests are in
 * flight, and that KV cache moves keep to the rate limit.
 */
class DrainTests {

	@Test
	void shutdownOutlastsEveryEntryAnswer() {
		DrainSchedule drain = new DrainSchedule(1_000, 30_000, 10_000);
		// An answer of a host with an outdated host list expires at 41,000 ms at the
		// latest.
		assertThat(drain.phase(true, 40_999)).isEqualTo(DrainSchedule.Phase.ENTRY_REMOVED);
		assertThat(drain.phase(true, 40_999).acceptsRequests()).isTrue();
		assertThat(drain.phase(true, 41_000)).isEqualTo(DrainSchedule.Phase.STOPPABLE);
	}

	@Test
	void requestInFlightIsNeverCut() {
		DrainSchedule drain = new DrainSchedule(0, 30_000, 10_000);
		assertThat(drain.phase(false, 40_000)).isEqualTo(DrainSchedule.Phase.FINISHING);
		assertThat(drain.phase(false, 4_000_000)).isEqualTo(DrainSchedule.Phase.FINISHING);
	}

	// A request that came late in the grace was cut without an answer, also one that may
	// be repeated and was taken because such requests usually take less time (LOST).
	@Test
	void requestThatMayNotEndBeforeTheStopIsNotTaken() {
		DrainSchedule drain = new DrainSchedule(0, 3_000, 500, 7_000);
		assertThat(drain.endsInTime(7_000)).isTrue();
		assertThat(drain.endsInTime(7_001)).isFalse();
	}

	@Test
	void movesKeepToTheRateAndToOnePerTarget() {
		List<ChatContext> chats = List.of(new ChatContext("old", 8_000, 0), new ChatContext("recent", 8_000, 900_000),
				new ChatContext("brief", 100, 900_000), new ChatContext("next", 4_000, 900_000));
		KvMigrationPlan plan = new KvMigrationPlan("s1", chats, Map.of("s2", 1_000L), 10_000, 900_000);
		assertThat(plan.startMoves(900_000)).isEmpty();
		List<KvMove> first = plan.startMoves(900_500);
		assertThat(first).extracting(KvMove::chatId).containsExactly("recent");
		assertThat(plan.startMoves(902_000)).isEmpty();
		plan.recordEnd(first.getFirst());
		assertThat(plan.startMoves(902_100)).extracting(KvMove::chatId).containsExactly("next");
		assertThat(plan.waiting()).isEqualTo(1);
	}

}
