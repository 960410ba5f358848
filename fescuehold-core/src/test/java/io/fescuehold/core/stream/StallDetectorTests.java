package io.fescuehold.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that stalls are detected in time and that there are no false detections.
 */
class StallDetectorTests {

	@Test
	void silenceBeyondHalfOfTheLimitIsAStall() {
		StallDetector detector = StallDetector.ofRequest(2_000, 0);
		assertThat(detector.isStalled(1_000)).isFalse();
		assertThat(detector.isStalled(1_001)).isTrue();
		detector.bytesReceived(900);
		assertThat(detector.isStalled(1_900)).isFalse();
		assertThat(detector.silentMs(1_900)).isEqualTo(1_000);
	}

	@Test
	void resumedStreamMustRespondWithinAQuarterOfTheLimit() {
		StallDetector detector = StallDetector.ofResume(2_000, 0);
		assertThat(detector.isStalled(501)).isTrue();
		detector.bytesReceived(100);
		assertThat(detector.isStalled(1_100)).isFalse();
	}

	@Test
	void pauseOfTheReaderIsNotAStall() {
		StallDetector detector = StallDetector.ofRequest(2_000, 0);
		detector.readingResumed(5_000);
		assertThat(detector.isStalled(5_900)).isFalse();
	}

	@Test
	void pauseOfTheProcessIsNotAStall() {
		StallDetector detector = StallDetector.ofRequest(2_000, 0);
		assertThat(detector.check(100)).isFalse();
		assertThat(detector.check(5_000)).as("after a freeze").isFalse();
		for (long nowMs = 5_100; nowMs <= 6_000; nowMs += 100) {
			assertThat(detector.check(nowMs)).isFalse();
		}
		assertThat(detector.check(6_100)).isTrue();
	}

	@Test
	void shortLimitToleratesALateComment() {
		assertThat(StallDetector.ofRequest(200, 0).isStalled(500)).isFalse();
	}

}
