package io.fescuehold.core.streamversion;

import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link VersionSearch}.
 */
class VersionSearchTests {

	private static final StreamRecord RECORD = new StreamRecord("id", "s", "v1");

	@Test
	void oneRecordDecidesWhateverElseIsUnknown() {
		VersionSearch search = new VersionSearch(3, Set.of("v1", "v2"), false);
		assertThat(search.verdict(false)).isInstanceOf(VersionVerdict.Open.class);
		assertThat(search.add(RECORD, Set.of("v2"), false).verdict(false))
			.isEqualTo(new VersionVerdict.Recorded(RECORD));
	}

	@Test
	void singleVersionFollowsFromAMajorityWithoutARecord() {
		VersionSearch search = new VersionSearch(3, Set.of("v1"), true).add(null, Set.of("v1"), true);
		assertThat(search.verdict(false)).isInstanceOf(VersionVerdict.Open.class);
		assertThat(search.add(null, Set.of("v1"), true).verdict(false)).isEqualTo(new VersionVerdict.OnlyVersion("v1"));
	}

	@Test
	void versionThatAnyHostHasObservedRulesOutAGuess() {
		VersionSearch search = new VersionSearch(3, Set.of("v1"), true).add(null, Set.of("v1"), true)
			.add(null, Set.of("v1", "v2"), true)
			.add(null, Set.of("v1"), true);
		assertThat(search.verdict(false)).isInstanceOf(VersionVerdict.Unknown.class);
	}

	@Test
	void hostsThatStartedLaterThanTheStreamProveNothing() {
		VersionSearch search = new VersionSearch(2, Set.of("v1"), false).add(null, Set.of("v1"), false)
			.add(null, Set.of("v1"), false);
		assertThat(search.verdict(true)).isInstanceOf(VersionVerdict.Unknown.class);
	}

	@Test
	void withoutAnswersOnlyACurrentListProvesTheSingleVersion() {
		assertThat(new VersionSearch(3, Set.of("v1"), true).verdict(true)).isInstanceOf(VersionVerdict.Unknown.class);
		assertThat(new VersionSearch(3, Set.of("v1"), true).confirmList(Set.of("v1")).verdict(true))
			.isEqualTo(new VersionVerdict.OnlyVersion("v1"));
		assertThat(new VersionSearch(3, Set.of("v1"), true).confirmList(Set.of("v1", "v2")).verdict(true))
			.isInstanceOf(VersionVerdict.Unknown.class);
	}

}
