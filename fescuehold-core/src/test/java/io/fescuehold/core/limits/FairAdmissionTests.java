package io.fescuehold.core.limits;

import java.util.SplittableRandom;

import io.fescuehold.config.TeamSpec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a surging team is limited to its share, that sampling noise does not cause
 * refusals of small teams and that the retries of refused requests are spread over time.
 */
class FairAdmissionTests {

	private static final TeamSpec EVEN = new TeamSpec(10, 0);

	private static final PoolPressure CONGESTED = new PoolPressure(44_000, 40_000, 70_000);

	private static final PoolPressure IDLE = new PoolPressure(4_000, 40_000, 70_000);

	private final FairAdmission admission = new FairAdmission(() -> 7, 1);

	private Admission admit(String team, TeamSpec spec, PoolPressure pressure, long nowMs) {
		return this.admission.admit("tarawera", "m1", team, spec, Priority.NORMAL, 500, pressure, nowMs);
	}

	@Test
	void surgingTeamIsHeldToItsShareWhileOthersPass() {
		SplittableRandom random = new SplittableRandom(3);
		int[] offered = new int[2];
		int[] refused = new int[2];
		for (long nowMs = 0; nowMs < 60_000; nowMs += 10) {
			// The capacity of this router is 20 requests/s less 10 %. The quiet teams
			// send 6/s in total, the surging team 40/s.
			for (int team = 0; team < 3; team++) {
				if (random.nextDouble() < 0.02) {
					count(admit("quiet" + team, EVEN, CONGESTED, nowMs), offered, refused, 0);
				}
			}
			if (random.nextDouble() < 0.4) {
				count(admit("surging", EVEN, CONGESTED, nowMs), offered, refused, 1);
			}
		}
		assertThat(refused[0]).isLessThanOrEqualTo(offered[0] / 100);
		assertThat((double) (offered[1] - refused[1]) / 60).isBetween(8.0, 16.0);
	}

	private static void count(Admission decision, int[] offered, int[] refused, int index) {
		offered[index]++;
		refused[index] += (decision instanceof Admission.Refused) ? 1 : 0;
	}

	@Test
	void nothingIsRefusedWithoutCongestion() {
		for (int request = 0; request < 2_000; request++) {
			assertThat(admit("surging", EVEN, IDLE, request)).isInstanceOf(Admission.Admitted.class);
		}
	}

	@Test
	void hardLimitIsDividedOverTheRouters() {
		TeamSpec limited = new TeamSpec(10, 7_000);
		int admitted = 0;
		for (long nowMs = 0; nowMs < 60_000; nowMs += 50) {
			admitted += (admit("limited", limited, IDLE, nowMs) instanceof Admission.Admitted) ? 1 : 0;
		}
		// 1,000 tokens/s per router at 500 tokens each, plus a burst of two seconds.
		assertThat(admitted).isBetween(110, 126);
	}

	@Test
	void retryTimesOfASurgeAreSpread() {
		long earliest = Long.MAX_VALUE;
		long latest = 0;
		for (int request = 0; request < 1_000; request++) {
			if (admit("surging", EVEN, CONGESTED, 1_000 + request) instanceof Admission.Refused refused) {
				earliest = Math.min(earliest, refused.retryAfterMs());
				latest = Math.max(latest, refused.retryAfterMs());
			}
		}
		assertThat(latest - earliest).isGreaterThan(10_000);
	}

	@Test
	void lowPriorityIsRefusedBeforeHigh() {
		int[] admitted = new int[3];
		for (long nowMs = 0; nowMs < 30_000; nowMs += 15) {
			Priority priority = Priority.values()[(int) (nowMs / 15 % 3)];
			Admission decision = this.admission.admit("tarawera", "m1", "team", EVEN, priority, 500, CONGESTED, nowMs);
			admitted[priority.ordinal()] += (decision instanceof Admission.Admitted) ? 1 : 0;
		}
		assertThat(admitted[0]).isGreaterThan(admitted[2]);
		assertThat(admitted[0]).isGreaterThanOrEqualTo(admitted[1]);
	}

}
