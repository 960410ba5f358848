package io.fescuehold.standin.hosts;

import io.fescuehold.standin.TestHttp;
import io.fescuehold.standin.weights.WeightStore;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host list without a lag and a weight store without a rate limit.
 */
class HostListTests {

	/** Guards against content that is published before the lag has passed. */
	@Test
	void contentIsShownAfterTheLag() throws InterruptedException {
		String content = "{\"hosts\":[{\"hostId\":\"h1\",\"state\":\"leaving\"}]}";
		try (HostList list = HostList.start(0, 1_500)) {
			assertThat(TestHttp.send("PUT", list.port(), "/hosts", content).statusCode()).isEqualTo(200);
			assertThat(TestHttp.send("GET", list.port(), "/hosts", "").body()).isEqualTo("{\"hosts\":[]}");
			Thread.sleep(1_700);
			assertThat(TestHttp.send("GET", list.port(), "/hosts", "").body()).isEqualTo(content);
			assertThat(TestHttp.send("PUT", list.port(), "/hosts", content.replace("leaving", "gone")).statusCode())
				.isEqualTo(400);
		}
	}

	/** Guards against downloads beyond the rate limit. */
	@Test
	void weightStoreAnswers429WithRetryAfterBeyondItsRate() {
		try (WeightStore store = WeightStore.start(0, 0.5)) {
			assertThat(TestHttp.send("GET", store.port(), "/weights/m", "").statusCode()).isEqualTo(200);
			var refused = TestHttp.send("GET", store.port(), "/weights/m", "");
			assertThat(refused.statusCode()).isEqualTo(429);
			assertThat(refused.headers().firstValue("Retry-After")).contains("2");
		}
	}

}
