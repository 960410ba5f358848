package io.fescuehold.core.freshness;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a host that was suspended does not take an old confirmation for a fresh one,
 * whatever changes are made to the wall clock.
 */
class SuspensionClockTests {

	private final AtomicLong monotonicMs = new AtomicLong(1_000);

	private final AtomicLong wallClockMs = new AtomicLong(50_000);

	private final SuspensionClock clock = new SuspensionClock(this.monotonicMs::get, this.wallClockMs::get);

	@Test
	void clockFollowsTheMonotonicClockWithoutASuspension() {
		advance(700, 700);
		assertThat(this.clock.nowMs()).isEqualTo(1_700);
		assertThat(this.clock.suspendedMs()).isZero();
	}

	@Test
	void suspensionCounts() {
		advance(10, 4_010);
		assertThat(this.clock.nowMs()).isEqualTo(5_010);
		assertThat(this.clock.suspendedMs()).isEqualTo(4_000);
	}

	@Test
	void wallClockThatIsSetBackNeverSetsTheClockBack() {
		long before = this.clock.nowMs();
		advance(100, -5_000);
		assertThat(this.clock.nowMs()).isEqualTo(before + 100);
	}

	@Test
	void suspensionAfterTheWallClockWasSetBackCounts() {
		advance(100, -5_000);
		this.clock.nowMs();
		advance(0, 3_000);
		assertThat(this.clock.nowMs()).isEqualTo(4_100);
	}

	@Test
	void smallCorrectionsOfTheWallClockAreIgnored() {
		for (int step = 0; step < 100; step++) {
			advance(1_000, 1_000 + SuspensionClock.TOLERANCE_MS);
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
		advance(5, 4_200);
		assertThat(freshness.isFresh(this.clock.nowMs(), 4_000)).isFalse();
	}

	private void advance(long monotonicStepMs, long wallClockStepMs) {
		this.monotonicMs.addAndGet(monotonicStepMs);
		this.wallClockMs.addAndGet(wallClockStepMs);
	}

}
