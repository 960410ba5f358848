package io.fescuehold.core.streamversion;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import io.fescuehold.core.servers.BackendServer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ServedVersions}.
 */
class ServedVersionsTests {

	private static final long RETENTION_MS = 10_000;

	private final ServedVersions versions = new ServedVersions(RETENTION_MS, 0);

	@Test
	void versionThatLeftCanHaveBegunAStreamUntilTheRetentionIsOver() {
		this.versions.observe(servers("v1", "v2"), 0);
		this.versions.observe(servers("v2"), 5_000);
		assertThat(this.versions.of("s", 14_999)).containsExactly("v1", "v2");
		assertThat(this.versions.isAmbiguous("s", 14_999)).isTrue();
		assertThat(this.versions.of("s", 15_000)).containsExactly("v2");
		assertThat(this.versions.isAmbiguous("s", 15_000)).isFalse();
	}

	@Test
	void hostThatHasJustStartedCountsAsAmbiguousUntilItKnowsTheVersionsBefore() {
		this.versions.observe(servers("v1"), 0);
		assertThat(this.versions.isAmbiguous("s", RETENTION_MS - 1)).isTrue();
		assertThat(this.versions.isAmbiguous("s", RETENTION_MS)).isFalse();
		ServedVersions told = new ServedVersions(RETENTION_MS, 0);
		told.observe(servers("v1"), 0);
		told.markComplete();
		assertThat(told.isAmbiguous("s", 1)).isFalse();
	}

	@Test
	void timeForWhichTheListNamesAVersionBeginsAnewWhenItIsBack() {
		this.versions.observe(servers("v1"), 0);
		this.versions.observe(servers("v1", "v2"), 1_000);
		assertThat(this.versions.listedMs("s", "v1", 1_500)).isEqualTo(1_500);
		assertThat(this.versions.listedMs("s", "v2", 1_500)).isEqualTo(500);
		this.versions.observe(servers("v1"), 2_000);
		assertThat(this.versions.listedMs("s", "v2", 2_500)).isEqualTo(Long.MAX_VALUE);
		this.versions.observe(servers("v2"), 3_000);
		assertThat(this.versions.listedMs("s", "v2", 3_100)).isEqualTo(100);
	}

	// Two hosts that report to each other must not keep a version alive.
	@Test
	void reportedVersionsAreNotPassedOn() {
		this.versions.addReported("s", Set.of("v0"), 0);
		this.versions.observe(servers("v1"), 0);
		assertThat(this.versions.of("s", 1)).containsExactly("v0", "v1");
		assertThat(this.versions.observed(1).get("s")).containsExactly("v1");
		this.versions.expire(RETENTION_MS);
		assertThat(this.versions.all(RETENTION_MS).get("s")).containsExactly("v1");
	}

	private static List<BackendServer> servers(String... versions) {
		return Stream.of(versions)
			.map((version) -> new BackendServer("i-" + version, "s", "10.0.0.1:80", "z", 4, false, version))
			.toList();
	}

}
