package io.fescuehold.core.retry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when second copies are sent, each under the load that it names. Times are drawn
 * from small fakes of servers; there is no network.
 */
class HedgePolicyTests {

	private static final HedgePolicy.Work LOOKUP = HedgePolicy.Work.of("service", 0);

	private static final HedgePolicy.Room ROOM = new HedgePolicy.Room(4, 18);

	private static final long LEFT_MS = 1_000;

	private final SplittableRandom random = new SplittableRandom(3);

	private static HedgePolicy policy(double ratio, int requests, long... timesMs) {
		HedgePolicy policy = new HedgePolicy(ratio);
		for (int request = 0; request < requests; request++) {
			policy.recordRequest("service");
			policy.recordTime(LOOKUP, timesMs[request % timesMs.length], request);
		}
		return policy;
	}

	private static HedgeDecision refused(HedgeDecision.Reason reason) {
		return new HedgeDecision.Refused(reason);
	}

	@Test
	void copyIsDueAfterThePercentileOfSimilarRequestsAndWithinTheLimit() {
		long[] timesMs = new long[100];
		Arrays.fill(timesMs, 0, 94, 10);
		Arrays.fill(timesMs, 94, 100, 400);
		HedgePolicy policy = policy(0.05, 1_000, timesMs);
		assertThat(policy.delayMs(LOOKUP, 1_000)).isBetween(380L, 500L);
		assertThat(policy.delayMs(HedgePolicy.Work.of("service", 9_000), 1_000)).isEqualTo(HedgePolicy.UNKNOWN_MS);
		assertThat(policy.decide(LOOKUP, LEFT_MS, ROOM, 1_000)).isEqualTo(new HedgeDecision.Send());
		assertThat(policy.decide(LOOKUP, LEFT_MS, ROOM, 1_000)).isEqualTo(new HedgeDecision.Send());
		assertThat(policy.decide(LOOKUP, LEFT_MS, ROOM, 1_000)).isEqualTo(refused(HedgeDecision.Reason.LIMIT));
	}

	@Test
	void firstCopyOfAServiceWithEvenTimesHasAFairChance() {
		assertThat(policy(0.05, 100, 40).delayMs(LOOKUP, 100)).isGreaterThanOrEqualTo(80);
	}

	@Test
	void nothingIsSentWithoutALimit() {
		HedgePolicy policy = policy(0, 1_000, 10, 10, 10, 900);
		assertThat(policy.delayMs(LOOKUP, 1_000)).isEqualTo(HedgePolicy.UNKNOWN_MS);
		assertThat(policy.decide(LOOKUP, LEFT_MS, ROOM, 1_000)).isEqualTo(refused(HedgeDecision.Reason.NO_TIMES));
	}

	@Test
	void nothingIsSentWithoutTimeOrRoom() {
		HedgePolicy policy = policy(0.05, 1_000, 40);
		assertThat(policy.decide(LOOKUP, 20, ROOM, 1_000)).isEqualTo(refused(HedgeDecision.Reason.NO_TIME_LEFT));
		assertThat(policy.decide(LOOKUP, LEFT_MS, new HedgePolicy.Room(14, 18), 1_000))
			.isEqualTo(refused(HedgeDecision.Reason.SERVICE_LOADED));
	}

	/** One server of six answers ten times as slowly: copies cut the slowest answers. */
	@Test
	void oneSlowServerOfManyCostsLessAndTheCopiesStayWithinTheLimit() {
		HedgePolicy policy = new HedgePolicy(0.05);
		List<Long> plainMs = new ArrayList<>();
		List<Long> hedgedMs = new ArrayList<>();
		int copies = 0;
		int requests = 5_000;
		for (int request = 0; request < requests; request++) {
			long nowMs = 5L * request;
			long firstMs = drawMs(this.random.nextInt(60) == 0);
			long secondMs = drawMs(false);
			policy.recordRequest("service");
			long delayMs = policy.delayMs(LOOKUP, nowMs);
			long answeredMs = firstMs;
			if (delayMs >= 0 && firstMs > delayMs
					&& policy.decide(LOOKUP, LEFT_MS - delayMs, ROOM, nowMs) instanceof HedgeDecision.Send) {
				copies++;
				answeredMs = Math.min(firstMs, delayMs + secondMs);
				policy.recordOutcome("service", answeredMs < firstMs);
			}
			policy.recordTime(LOOKUP, answeredMs, nowMs);
			plainMs.add(firstMs);
			hedgedMs.add(answeredMs);
		}
		assertThat(copies).isBetween(20, (int) (0.05 * requests));
		assertThat(percentile(hedgedMs, 99)).isLessThan(percentile(plainMs, 99) / 2);
		assertThat(percentile(hedgedMs, 50)).isEqualTo(percentile(plainMs, 50));
	}

	private long drawMs(boolean slow) {
		return (slow ? 10 : 1) * (30 + this.random.nextLong(20));
	}

	private static long percentile(List<Long> timesMs, int percent) {
		return timesMs.stream().sorted().skip((long) timesMs.size() * percent / 100).findFirst().orElseThrow();
	}

	/** The whole service slows down: the delay follows, and copies end as it fills. */
	@Test
	void serviceThatIsSlowAsAWholeGetsNoExtraWork() {
		HedgePolicy policy = policy(0.05, 1_000, 40);
		long beforeMs = policy.delayMs(LOOKUP, 1_000);
		for (int request = 0; request < 400; request++) {
			policy.recordRequest("service");
			policy.recordTime(LOOKUP, 400, 1_000 + request);
		}
		assertThat(policy.delayMs(LOOKUP, 1_400)).isGreaterThan(5 * beforeMs);
		assertThat(policy.decide(LOOKUP, LEFT_MS, new HedgePolicy.Room(17, 18), 1_400))
			.isEqualTo(refused(HedgeDecision.Reason.SERVICE_LOADED));
	}

	/** The second copies meet the same slowness: few are sent until they win again. */
	@Test
	void copiesThatDoNotWinEndAndAreTriedAgainNowAndThen() {
		HedgePolicy policy = policy(1, 100, 40);
		int copies = 0;
		long nowMs = 100;
		for (int request = 0; request < 2_000; request++, nowMs += 10) {
			policy.recordRequest("service");
			if (policy.decide(LOOKUP, LEFT_MS, ROOM, nowMs) instanceof HedgeDecision.Send) {
				copies++;
				policy.recordOutcome("service", false);
			}
		}
		assertThat(copies).isBetween(1, 20);
		for (int win = 0; win < 5; win++) {
			policy.recordOutcome("service", true);
		}
		assertThat(policy.decide(LOOKUP, LEFT_MS, ROOM, nowMs)).isEqualTo(new HedgeDecision.Send());
	}

	/** A neighbour slows servers down for a while: its times are forgotten afterwards. */
	@Test
	void timesOfANoisyNeighbourAreForgotten() {
		HedgePolicy policy = policy(0.05, 100, 400);
		for (int request = 0; request < 2_000; request++) {
			policy.recordTime(LOOKUP, 40, 100 + 40L * request);
		}
		assertThat(policy.delayMs(LOOKUP, 80_100)).isLessThan(100);
	}

	@Test
	void quietServiceSavesUpFewCopies() {
		HedgePolicy policy = policy(0.5, 1_000, 40);
		int copies = 0;
		while (policy.decide(LOOKUP, LEFT_MS, ROOM, 1_000) instanceof HedgeDecision.Send) {
			copies++;
		}
		assertThat(copies).isEqualTo(2);
		policy.giveBack("service");
		assertThat(policy.decide(LOOKUP, LEFT_MS, ROOM, 1_000)).isEqualTo(new HedgeDecision.Send());
		policy.retain(Set.of());
		assertThat(policy.delayMs(LOOKUP, 1_000)).isEqualTo(HedgePolicy.UNKNOWN_MS);
	}

}
