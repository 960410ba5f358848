package io.fescuehold.core.prompt;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how daemons exchange reports of the parts that servers hold.
 */
class PartReportRelayTests {

	private static final PromptPart SUBJECT = new PromptPart("subject", 600);

	private static final PromptShape PROMPT = new PromptShape(
			List.of(new PromptPart("common", 200), SUBJECT, new PromptPart("own", 50)), 10);

	private final PartReportRelay relay = new PartReportRelay(3, 2_000);

	private final PartHolders holders = new PartHolders(100, 10_000);

	@Test
	void everyOtherDaemonReceivesEachPartOnce() {
		this.relay.put("h1", Map.of(), 0);
		this.relay.put("h2", Map.of("i-1", Set.of("a")), 10);
		assertThat(this.relay.take("h1")).containsOnly(Map.entry("i-1", Set.of("a")));
		assertThat(this.relay.take("h1")).isEmpty();
		assertThat(this.relay.take("h2")).as("its own report").isEmpty();
	}

	@Test
	void partsQueuedForOneDaemonAreBounded() {
		this.relay.put("h1", Map.of(), 0);
		this.relay.put("h2", Map.of("i-1", Set.of("a", "b", "c", "d", "e")), 10);
		assertThat(this.relay.take("h1").get("i-1")).hasSize(3);
	}

	@Test
	void daemonThatHasNotReportedInTimeIsRemoved() {
		this.relay.put("h1", Map.of(), 0);
		this.relay.put("h2", Map.of("i-1", Set.of("a")), 2_000);
		assertThat(this.relay.take("h1")).isEmpty();
	}

	@Test
	void sharedPartsAreReportedWhenTheServerDidNotHoldThem() {
		this.holders.recordPrefill(PROMPT, "i-1", 0);
		assertThat(this.holders.takeUnreportedParts()).containsOnly(Map.entry("i-1", Set.of("common", "subject")));
		this.holders.recordPrefill(PROMPT, "i-1", 100);
		assertThat(this.holders.takeUnreportedParts()).isEmpty();
		this.holders.recordPrefill(PROMPT, "i-1", 10_100);
		assertThat(this.holders.takeUnreportedParts()).as("after the retention time of a part").isNotEmpty();
	}

	@Test
	void partsReportedByOthersCountUntilTheServerIsGone() {
		this.holders.recordReportedParts(Map.of("i-1", Set.of("subject")), 0);
		assertThat(this.holders.holds(SUBJECT, "i-1", 100)).isTrue();
		assertThat(this.holders.takeUnreportedParts()).as("reports of others are not passed on").isEmpty();
		this.holders.forget("i-1");
		assertThat(this.holders.holds(SUBJECT, "i-1", 100)).isFalse();
	}

}
