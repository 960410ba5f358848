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

}
