package io.fescuehold.core.streamversion;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StreamRecords}.
 */
class StreamRecordsTests {

	private final StreamRecords records = new StreamRecords(3, 1_000);

	@Test
	void firstVersionOfAStreamCountsAndLastUseExtendsItsRetention() {
		this.records.put(record("a", "v1"), 0);
		this.records.put(record("a", "v2"), 900);
		assertThat(this.records.find("a", 1_800)).isEqualTo(record("a", "v1"));
		assertThat(this.records.find("a", 1_900)).isNull();
	}

	@Test
	void oldestRecordsMakeRoom() {
		for (String id : new String[] { "a", "b", "c", "d" }) {
			this.records.put(record(id, "v1"), 0);
		}
		assertThat(this.records.all(1)).extracting(StreamRecord::streamId).containsExactly("b", "c", "d");
	}

	private static StreamRecord record(String id, String version) {
		return new StreamRecord(id, "s", version);
	}

}
