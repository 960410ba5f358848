package io.fescuehold.core.servers;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the fractions of all daemons follow their loads and add up to one.
 */
class LoadFractionsTests {

	@Test
	void fractionsFollowTheLoadsAndAddUpToOne() {
		int[] loads = { 0, 1, 5, 14 };
		double sum = 0;
		for (int own : loads) {
			LoadFractions fractions = new LoadFractions();
			fractions.record("model", own, 20 - own, 0);
			fractions.record("model", own, 20 - own, 400);
			sum += fractions.fraction("model", loads.length);
			assertThat(fractions.fraction("model", loads.length)).isBetween(0.05, 0.75 * own / 20 + 0.07);
		}
		assertThat(sum).isBetween(0.99, 1.01);
	}

	@Test
	void daemonWithoutLoadHasItsEqualPart() {
		assertThat(new LoadFractions().fraction("model", 4)).isEqualTo(0.25);
	}

	@Test
	void oldSamplesFade() {
		LoadFractions fractions = new LoadFractions();
		fractions.record("model", 10, 0, 0);
		fractions.record("model", 0, 10, 10 * LoadFractions.HALF_LIFE_MS);
		assertThat(fractions.fraction("model", 10)).isLessThan(0.03);
	}

}
