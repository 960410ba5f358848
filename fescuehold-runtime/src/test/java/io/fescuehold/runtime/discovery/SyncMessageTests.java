package io.fescuehold.runtime.discovery;

import java.util.Map;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that messages are compatible between two versions while a fleet is upgraded.
 */
class SyncMessageTests {

	@Test
	void messagesOfAnEarlierVersionHaveNoParts() {
		HostRecord sender = new HostRecord("10.0.0.1", "a", 1, null, HostState.READY);
		assertThat(new SyncMessage.Pull(sender, 1, 1, 1, Map.of(), null).partsRead()).isEmpty();
		assertThat(new SyncMessage.News("10.0.0.1", true, null, null, 1, null, Map.of(), null, null).otherPartsRead())
			.isEmpty();
	}

}
