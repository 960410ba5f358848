package io.fescuehold.core.servers;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how the outcomes of requests determine the health of a server.
 */
class ServerHealthTests {

	private final ServerHealth health = new ServerHealth();

	@Test
	void unreachableServerIsExcludedForLongerEachTime() {
		long now = 0;
		long expected = ServerHealth.FIRST_BACKOFF_MS;
		for (int failure = 0; failure < 6; failure++) {
			this.health.record(ServerOutcome.UNREACHABLE, now);
			assertThat(this.health.isUsable(now + expected - 1)).isFalse();
			assertThat(this.health.isUsable(now + expected)).isTrue();
			now += expected;
			expected = Math.min(2 * expected, ServerHealth.MAX_BACKOFF_MS);
		}
	}

	@Test
	void successfulRequestResetsTheBackoff() {
		this.health.record(ServerOutcome.UNREACHABLE, 0);
		this.health.record(ServerOutcome.UNREACHABLE, 400);
		this.health.record(ServerOutcome.SERVED, 2_000);
		this.health.record(ServerOutcome.UNREACHABLE, 3_000);
		assertThat(this.health.isUsable(3_000 + ServerHealth.FIRST_BACKOFF_MS)).isTrue();
	}

	@Test
	void failureRateFollowsTheOutcomesAndDecays() {
		for (int answer = 0; answer < 200; answer++) {
			this.health.record((answer % 2 == 0) ? ServerOutcome.FAILED : ServerOutcome.SERVED, answer);
		}
		assertThat(this.health.failureRate(200)).isBetween(0.4, 0.6);
		assertThat(this.health.failureRate(200 + 4 * ServerHealth.HALF_LIFE_MS)).isLessThan(0.05);
	}

	@Test
	void replacedInstanceIsExcludedWhileTheListStillNamesIt() {
		this.health.record(ServerOutcome.REPLACED, 0);
		assertThat(this.health.isUsable(ServerHealth.REPLACED_BACKOFF_MS - 1)).isFalse();
	}

	// A server that a guilty request crashed must not lose its good standing.
	@Test
	void excusedFailuresDoNotCount() {
		for (int failure = 0; failure < 10; failure++) {
			this.health.record(ServerOutcome.FAILED, failure);
		}
		this.health.excuse(10);
		this.health.record(ServerOutcome.UNREACHABLE, 20);
		assertThat(this.health.failureRate(20)).isZero();
		assertThat(this.health.isUsable(20)).isFalse();
		assertThat(this.health.isUsable(20 + ServerHealth.FIRST_BACKOFF_MS)).isTrue();
		this.health.record(ServerOutcome.SERVED, 500);
		this.health.record(ServerOutcome.FAILED, 600);
		assertThat(this.health.failureRate(600)).isPositive();
	}

	@Test
	void rejectingServerIsExcludedBriefly() {
		this.health.record(ServerOutcome.REJECTED, 0);
		assertThat(this.health.isUsable(ServerHealth.REJECTED_BACKOFF_MS - 1)).isFalse();
		assertThat(this.health.isUsable(ServerHealth.REJECTED_BACKOFF_MS)).isTrue();
		assertThat(this.health.failureRate(1)).isZero();
	}

	// Retries must not all go to servers that are down (LOST).
	@Test
	void serverIsUnprovenUntilItServesARequestAgain() {
		ServerHealth health = new ServerHealth();
		assertThat(health.isUnproven()).isFalse();
		health.record(ServerOutcome.UNREACHABLE, 0);
		health.excuse(10);
		assertThat(health.isUsable(ServerHealth.FIRST_BACKOFF_MS)).isTrue();
		assertThat(health.isUnproven()).isTrue();
		health.record(ServerOutcome.SERVED, ServerHealth.FIRST_BACKOFF_MS);
		assertThat(health.isUnproven()).isFalse();
	}

}
