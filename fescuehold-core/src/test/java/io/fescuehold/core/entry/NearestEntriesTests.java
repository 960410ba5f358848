package io.fescuehold.core.entry;

import java.util.List;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which daemons a caller may connect to.
 */
class NearestEntriesTests {

	private final List<HostRecord> hosts = List.of(host("1", "a", HostState.READY), host("2", "a", HostState.READY),
			host("3", "b", HostState.READY), host("4", "b", HostState.DRAINING), host("5", "c", HostState.STARTING));

	@Test
	void callerStaysInItsFailureDomainWhileOneOfItsDaemonsMayFail() {
		assertThat(NearestEntries.choose(this.hosts, "a")).extracting(HostRecord::hostId).containsExactly("1", "2");
	}

	@Test
	void callerOfADomainWithOneDaemonGetsAll() {
		assertThat(NearestEntries.choose(this.hosts, "b")).extracting(HostRecord::hostId)
			.containsExactly("1", "2", "3");
		assertThat(NearestEntries.choose(this.hosts, null)).hasSize(3);
	}

	private static HostRecord host(String id, String domain, HostState state) {
		return new HostRecord(id, domain, 1, null, state);
	}

}
