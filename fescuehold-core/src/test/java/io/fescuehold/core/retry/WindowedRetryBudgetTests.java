package io.fescuehold.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the repeats of a whole fleet stay below the configured limit in every
 * window.
 */
class WindowedRetryBudgetTests {

	private static final long WINDOW_MS = 10_000;

	private static final double RATIO = 0.2;

	private static final double EXTRA_REPEATS = 58;

	private static final int DAEMONS = 7;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void fleetStaysBelowTheLimitInEveryWindowWhileAllServersFail(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<WindowedRetryBudget> budgets = new ArrayList<>();
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			budgets.add(new WindowedRetryBudget(RATIO, EXTRA_REPEATS, WINDOW_MS));
			budgets.getLast().setShare(1.0 / DAEMONS, 0);
		}
		List<Long> requests = new ArrayList<>();
		List<Long> repeats = new ArrayList<>();
		for (long nowMs = 0; nowMs < 60_000; nowMs += 20) {
			WindowedRetryBudget budget = budgets.get(random.nextInt(DAEMONS));
			budget.recordRequest("s", nowMs);
			requests.add(nowMs);
			while (budget.tryRetry("s", nowMs)) {
				repeats.add(nowMs);
			}
			assertThat(countInWindow(repeats, nowMs))
				.isLessThanOrEqualTo((int) (RATIO * countInWindow(requests, nowMs) + EXTRA_REPEATS));
		}
		assertThat(repeats).hasSizeGreaterThan(300);
	}

	private static int countInWindow(List<Long> times, long nowMs) {
		return (int) times.stream().filter((time) -> time > nowMs - WINDOW_MS).count();
	}

}
