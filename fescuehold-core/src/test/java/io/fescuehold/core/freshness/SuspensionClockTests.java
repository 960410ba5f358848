package io.fescuehold.core.freshness;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a suspended host cannot take an old promise for a fresh one, whatever the
 * time of day does.
 */
class SuspensionClockTests {

	private final AtomicLong steadyMs = new AtomicLong(1_000);

	private final AtomicLong timeOfDayMs = new AtomicLong(50_000);

	private final SuspensionClock clock = new SuspensionClock(this.steadyMs::get, this.timeOfDayMs::get);

	@Test
	void bothClocksTogetherAreTheSteadyClock() {
		pass(700, 700);
		assertThat(this.clock.nowMs()).isEqualTo(1_700);
		assertThat(this.clock.suspendedMs()).isZero();
	}

	@Test
	void suspensionCounts() {
		pass(10, 4_010);
		assertThat(this.clock.nowMs()).isEqualTo(5_010);
		assertThat(this.clock.suspendedMs()).isEqualTo(4_000);
	}

	@Test
	void timeOfDayThatIsSetBackNeverSetsTheClockBack() {
		long before = this.clock.nowMs();
		pass(100, -5_000);
		assertThat(this.clock.nowMs()).isEqualTo(before + 100);
	}

	@Test
	void suspensionAfterTheTimeOfDayWasSetBackCounts() {
		pass(100, -5_000);
		this.clock.nowMs();
		pass(0, 3_000);
		assertThat(this.clock.nowMs()).isEqualTo(4_100);
	}

	@Test
	void smallCorrectionsOfTheTimeOfDayAreIgnored() {
		for (int step = 0; step < 100; step++) {
			pass(1_000, 1_000 + SuspensionClock.TOLERANCE_MS);
			this.clock.nowMs();
		}
		assertThat(this.clock.suspendedMs()).isZero();
	}

	@Test
	void confirmationIsTooOldAfterASuspension() {
		ConfigFreshness freshness = new ConfigFreshness();
		assertThat(freshness.isFresh(this.clock.nowMs(), 4_000)).isFalse();
		freshness.confirm(this.clock.nowMs());
		assertThat(freshness.isFresh(this.clock.nowMs(), 4_000)).isTrue();
		pass(5, 4_200);
		assertThat(freshness.isFresh(this.clock.nowMs(), 4_000)).isFalse();
	}

	private void pass(long steady, long timeOfDay) {
		this.steadyMs.addAndGet(steady);
		this.timeOfDayMs.addAndGet(timeOfDay);
	}

}
