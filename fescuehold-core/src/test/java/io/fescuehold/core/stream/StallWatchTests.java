package io.fescuehold.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that stalls are detected in time and that there are no false detections.
 */
class StallWatchTests {

	@Test
	void silenceBeyondHalfOfTheLimitIsAStall() {
		StallWatch watch = StallWatch.ofRequest(2_000, 0);
		assertThat(watch.isStalled(1_000)).isFalse();
		assertThat(watch.isStalled(1_001)).isTrue();
		watch.bytesReceived(900);
		assertThat(watch.isStalled(1_900)).isFalse();
		assertThat(watch.silentMs(1_900)).isEqualTo(1_000);
	}

	@Test
	void resumedStreamMustRespondWithinAQuarterOfTheLimit() {
		StallWatch watch = StallWatch.ofResume(2_000, 0);
		assertThat(watch.isStalled(501)).isTrue();
		watch.bytesReceived(100);
		assertThat(watch.isStalled(1_100)).isFalse();
	}

	@Test
	void pauseOfTheReaderIsNotAStall() {
		StallWatch watch = StallWatch.ofRequest(2_000, 0);
		watch.readingResumed(5_000);
		assertThat(watch.isStalled(5_900)).isFalse();
	}

	@Test
	void pauseOfTheProcessIsNotAStall() {
		StallWatch watch = StallWatch.ofRequest(2_000, 0);
		assertThat(watch.check(100)).isFalse();
		assertThat(watch.check(5_000)).as("after a freeze").isFalse();
		for (long nowMs = 5_100; nowMs <= 6_000; nowMs += 100) {
			assertThat(watch.check(nowMs)).isFalse();
		}
		assertThat(watch.check(6_100)).isTrue();
	}

	@Test
	void shortLimitToleratesALateComment() {
		assertThat(StallWatch.ofRequest(200, 0).isStalled(500)).isFalse();
	}

}
