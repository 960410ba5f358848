package io.fescuehold.core.membership;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which daemons the table keeps as live.
 */
class HostTableTests {

	private final HostTable table = new HostTable(2_000);

	@Test
	void silentHostExpires() {
		this.table.observe(host("1", 1, HostState.READY), 0);
		this.table.observe(host("2", 1, HostState.READY), 1_000);
		long revision = this.table.revision();
		this.table.expire(1_999);
		assertThat(this.table.hosts()).hasSize(2);
		assertThat(this.table.revision()).isEqualTo(revision);
		this.table.expire(2_000);
		assertThat(this.table.hosts()).extracting(HostRecord::hostId).containsExactly("2");
		assertThat(this.table.revision()).isGreaterThan(revision);
	}

	@Test
	void messageOfAnEarlierStartIsIgnored() {
		this.table.observe(host("1", 7, HostState.READY), 0);
		this.table.observe(host("1", 6, HostState.DRAINING), 10);
		assertThat(this.table.find("1").state()).isEqualTo(HostState.READY);
	}

	@Test
	void newLeaderRestartsTheReportTimeouts() {
		this.table.replaceAll(List.of(host("1", 1, HostState.READY)), 0);
		this.table.restartReportTimeouts(5_000);
		this.table.expire(6_999);
		assertThat(this.table.hosts()).hasSize(1);
	}

	@Test
	void repeatedDescriptionChangesNothing() {
		this.table.observe(host("1", 1, HostState.READY), 0);
		long revision = this.table.revision();
		this.table.observe(host("1", 1, HostState.READY), 500);
		assertThat(this.table.revision()).isEqualTo(revision);
		this.table.observe(host("1", 1, HostState.DRAINING), 600);
		assertThat(this.table.revision()).isGreaterThan(revision);
	}

	private static HostRecord host(String id, long incarnation, HostState state) {
		return new HostRecord(id, "a", incarnation, null, state);
	}

}
