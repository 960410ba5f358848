package io.fescuehold.core.servers;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests what is known of the speed of a server, how it ages, and how the load of a plain
 * service follows it.
 */
class ServerSpeedTests {

	private final ServerSpeed speed = new ServerSpeed();

	@Test
	void slowMomentEndsWithItsAge() {
		assertThat(this.speed.factor(0)).isEqualTo(1);
		this.speed.recordReport(new ServerLoadReport(1, 0, 24, 250), 0);
		assertThat(this.speed.factor(0)).isEqualTo(2.5);
		assertThat(this.speed.factor(ServerSpeed.MOMENT_HALF_LIFE_MS)).isEqualTo(1.75);
		assertThat(this.speed.factor(ServerSpeed.MOMENT_EXPIRY_MS)).isEqualTo(1);
		this.speed.recordReport(new ServerLoadReport(1, 0, 24, 1), 2_000);
		assertThat(this.speed.factor(2_000)).as("faster than usual").isEqualTo(1);
	}

	@Test
	void serverThatIsSlowForGoodIsToldFromSlowMoments() {
		ServerSpeed shared = new ServerSpeed();
		for (int request = 0; request < 40; request++) {
			this.speed.recordTime(130, 100, request);
			shared.recordReport(new ServerLoadReport(1, 0, 24, (request % 3 == 0) ? 250 : 100), request);
			shared.recordTime((request % 3 == 0) ? 250 : 100, 100, request);
		}
		assertThat(this.speed.factor(40)).isCloseTo(1.3, within(0.01));
		assertThat(shared.learnedFactor(40)).isEqualTo(1);
		assertThat(this.speed.factor(40 + 4 * ServerSpeed.LEARNED_HALF_LIFE_MS)).isEqualTo(1);
	}

	@Test
	void chanceTeachesNothing() {
		for (int request = 1; request < ServerSpeed.MIN_TIMES; request++) {
			this.speed.recordTime(300, 100, 0);
		}
		assertThat(this.speed.factor(0)).isEqualTo(1);
		ServerSpeed varying = new ServerSpeed();
		for (int request = 0; request < 40; request++) {
			varying.recordTime((request % 4 == 0) ? 300 : 50, 100, 0);
			varying.recordTime(9, 3, 0);
		}
		assertThat(varying.factor(0)).isEqualTo(1);
		for (int request = 0; request < 40; request++) {
			varying.recordTime(75 + request % 3, 100, 0);
		}
		assertThat(varying.factor(0)).as("most times are below the mean").isEqualTo(1);
		this.speed.recordTime(Double.NaN, 100, 0);
		this.speed.recordTime(300, Double.NaN, 0);
		assertThat(this.speed.timeCount()).isEqualTo(ServerSpeed.MIN_TIMES - 1);
	}

	// One server of a plain service, in the daemon's own failure domain, takes 2.5 times
	// as long as the others.
	@Test
	void slowServerGetsALesserPartOfTheLoad() {
		ServerState slow = ServerState.unlisted(new BackendServer("slow", "s", "10.0.0.1:80", "a", 6, false, "v"));
		ServerState usual = ServerState.unlisted(new BackendServer("usual", "s", "10.0.0.2:80", "b", 6, false, "v"));
		LeastLoadedSelector selector = new LeastLoadedSelector("a", new SplittableRandom(1));
		assertThat(selector.select(List.of(slow, usual), 0)).isSameAs(slow);
		for (int request = 0; request < 20; request++) {
			slow.speed().recordTime(250, 100, 0);
		}
		for (int request = 0; request < 7; request++) {
			selector.select(List.of(slow, usual), 0).begin();
		}
		assertThat(slow.load()).isEqualTo(2);
		assertThat(usual.load()).isEqualTo(5);
	}

	@Test
	void freshReportReplacesTheSamplesOfOtherDaemons() {
		ServerState server = ServerState.unlisted(new BackendServer("s", "s", "10.0.0.1:80", "a", 6, false, "v"));
		server.begin();
		server.setOtherRequests(9);
		assertThat(server.load(0)).isEqualTo(10);
		server.recordReport(new ServerLoadReport(2, 1, 6, 100), 0, 0);
		server.begin();
		assertThat(server.load(0)).as("the report holds the first own request").isEqualTo(4);
		assertThat(server.waiting(0)).isEqualTo(1);
		server.end();
		server.end();
		assertThat(server.load(0)).isEqualTo(2);
		assertThat(server.load(ServerState.FRESH_REPORT_MS)).isEqualTo(9);
		server.recordReport(new ServerLoadReport(2, 0, 6, 100), 1, 0);
		assertThat(server.load(0)).as("an own request that the report counts has ended").isEqualTo(1);
	}

	@Test
	void usualTimesFollowTheTokensThatAreRead() {
		WorkTimes times = new WorkTimes();
		for (int request = 0; request < 100; request++) {
			assertThat(Double.isNaN(times.expectedMs("model", 0))).isEqualTo(request < WorkTimes.MIN_TIMES);
			times.record("model", (request % 5) * 2_000, 20 + (request % 5) * 20);
			times.record("plain", 0, 43);
		}
		assertThat(times.msPerToken("model")).isCloseTo(0.01, within(0.0005));
		assertThat(times.expectedMs("model", 9_000)).isCloseTo(110, within(2.0));
		assertThat(times.msPerToken("plain")).isNaN();
		assertThat(times.expectedMs("plain", 0)).isCloseTo(43, within(0.1));
	}

}
