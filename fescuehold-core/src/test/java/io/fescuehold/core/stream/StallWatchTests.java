package io.fescuehold.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against stalls that are noticed too late and against false stalls.
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
	void pauseOfTheReaderIsNoStall() {
		StallWatch watch = StallWatch.ofRequest(2_000, 0);
		watch.readingResumed(5_000);
		assertThat(watch.isStalled(5_900)).isFalse();
	}

	@Test
	void shortLimitToleratesALateComment() {
		assertThat(StallWatch.ofRequest(200, 0).isStalled(500)).isFalse();
	}

}
