package io.fescuehold.core.retry;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that retries do not multiply the load while servers fail.
 */
class RetryBudgetTests {

	@Test
	void amplificationStaysBelowItsBoundWithAThirdOfTheServersFailing() {
		RetryBudget budget = new RetryBudget();
		SplittableRandom random = new SplittableRandom(5);
		for (int request = 1; request <= 10_000; request++) {
			budget.request();
			while (random.nextInt(3) == 0 && budget.tryAcquire()) {
				assertThat(budget.amplification()).isPositive();
			}
			if (request > 500) {
				assertThat(budget.amplification()).isLessThan(1.1);
			}
		}
	}

	@Test
	void firstFailureAfterAStartMayBeRetried() {
		RetryBudget budget = new RetryBudget();
		budget.request();
		assertThat(budget.tryAcquire()).isTrue();
	}

	@Test
	void hedgeWaitsForThePercentileAndSharesTheBudget() {
		RetryBudget budget = new RetryBudget();
		HedgePolicy hedges = new HedgePolicy(budget);
		for (int sample = 0; sample < 1_000; sample++) {
			hedges.recordLatency((sample % 100 < 94) ? 10 : 400);
		}
		assertThat(hedges.hedgeDelayMs()).isBetween(380L, 500L);
		int hedged = 0;
		while (hedges.tryHedge()) {
			hedged++;
		}
		assertThat(hedged).isEqualTo(5);
		assertThat(budget.tryAcquire()).isFalse();
	}

}
