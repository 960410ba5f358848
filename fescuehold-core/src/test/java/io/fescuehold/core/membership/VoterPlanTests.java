package io.fescuehold.core.membership;

import java.util.ArrayList;
import java.util.List;

import io.fescuehold.core.agreement.MembershipChange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which hosts become voters when hosts join, leave and lose their disks.
 */
class VoterPlanTests {

	private static final long REPLACE_AFTER_MS = 1_200;

	@Test
	void groupOfThreeSpreadsOverTheFailureDomains() {
		List<HostRecord> hosts = List.of(host("1", "a"), host("2", "a"), host("3", "b"), host("4", "c"),
				diskless("5", "c"));
		assertThat(new VoterPlan(1, REPLACE_AFTER_MS).initialVoters(hosts)).containsExactlyInAnyOrder("1", "3", "4");
	}

	@Test
	void twoLossesNeedFiveVoters() {
		List<HostRecord> hosts = new ArrayList<>();
		for (int index = 0; index < 8; index++) {
			hosts.add(host("h" + index, "d" + index / 2));
		}
		assertThat(new VoterPlan(2, REPLACE_AFTER_MS).initialVoters(hosts)).hasSize(5);
	}

	@Test
	void evenNumberOfDisksFormsTheNextSmallerGroup() {
		assertThat(new VoterPlan(2, REPLACE_AFTER_MS)
			.initialVoters(List.of(host("1", "a"), host("2", "b"), host("3", "c"), host("4", "d")))).hasSize(3);
		assertThat(new VoterPlan(1, REPLACE_AFTER_MS).initialVoters(List.of(diskless("1", "a")))).isEmpty();
	}

	@Test
	void hostThatLostItsDiskReplacesItselfAtOnce() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		HostRecord returned = new HostRecord("2", "b", 9, "other-store", HostState.READY);
		MembershipChange change = plan.next(voters(), List.of(host("1", "a"), returned, host("3", "c")), 0);
		assertThat(change.addHostId()).isEqualTo("2");
		assertThat(change.removeHostId()).isEqualTo("2");
	}

	@Test
	void absentVoterIsReplacedOnlyAfterTheLimit() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		List<HostRecord> live = List.of(host("1", "a"), host("3", "c"), host("4", "c"), host("5", "b"));
		assertThat(plan.next(voters(), live, 0)).isNull();
		assertThat(plan.next(voters(), live, REPLACE_AFTER_MS - 1)).isNull();
		MembershipChange change = plan.next(voters(), live, REPLACE_AFTER_MS);
		assertThat(change.removeHostId()).isEqualTo("2");
		assertThat(change.addHostId()).as("a host of the failure domain without a voter").isEqualTo("5");
	}

	/**
	 * Guards against a voter that is kept for good although its replica has stopped while
	 * its process goes on.
	 */
	@Test
	void voterWhoseReplicaHasStoppedIsReplacedLikeAnAbsentOne() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		List<HostRecord> live = List.of(host("1", "a"), diskless("2", "b"), host("3", "c"), host("5", "b"));
		assertThat(plan.next(voters(), live, 0)).isNull();
		MembershipChange change = plan.next(voters(), live, REPLACE_AFTER_MS);
		assertThat(change.removeHostId()).isEqualTo("2");
		assertThat(change.addHostId()).isEqualTo("5");
	}

	@Test
	void voterThatReturnsInTimeStays() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		List<HostRecord> without = List.of(host("1", "a"), host("3", "c"), host("4", "b"));
		List<HostRecord> with = List.of(host("1", "a"), host("2", "b"), host("3", "c"), host("4", "b"));
		plan.next(voters(), without, 0);
		assertThat(plan.next(voters(), with, 800)).isNull();
		assertThat(plan.next(voters(), without, 1_300)).isNull();
		assertThat(plan.next(voters(), without, 2_400)).isNull();
		assertThat(plan.next(voters(), without, 2_500)).isNotNull();
	}

	@Test
	void absentVoterWithoutACandidateStays() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		List<HostRecord> live = List.of(host("1", "a"), host("3", "c"), diskless("4", "b"));
		plan.next(voters(), live, 0);
		assertThat(plan.next(voters(), live, 60_000)).isNull();
	}

	@Test
	void drainingHostIsNoCandidate() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		HostRecord draining = new HostRecord("4", "b", 1, "store-4", HostState.DRAINING);
		List<HostRecord> live = List.of(host("1", "a"), host("3", "c"), draining);
		plan.next(voters(), live, 0);
		assertThat(plan.next(voters(), live, 60_000)).isNull();
	}

	@Test
	void smallGroupGrowsByTwo() {
		VoterPlan plan = new VoterPlan(2, REPLACE_AFTER_MS);
		List<HostRecord> four = List.of(host("1", "a"), host("2", "b"), host("3", "c"), host("4", "d"));
		assertThat(plan.next(voters(), four, 0)).as("an even group survives no more").isNull();
		List<HostRecord> five = List.of(host("1", "a"), host("2", "b"), host("3", "c"), host("4", "d"), host("5", "a"));
		assertThat(plan.next(voters(), five, 0).addHostId()).isEqualTo("4");
	}

	private static List<VoterPlan.Voter> voters() {
		return List.of(new VoterPlan.Voter("1", "store-1", "a"), new VoterPlan.Voter("2", "store-2", "b"),
				new VoterPlan.Voter("3", "store-3", "c"));
	}

	@Test
	void groupIsNotFormedAgainWhileOneMayExist() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		List<HostRecord> unformed = List.of(unformed("1"), unformed("2"), unformed("3"));
		assertThat(plan.initialVotersAfterLostChoice(unformed)).containsExactlyInAnyOrder("1", "2", "3");
		assertThat(plan.initialVotersAfterLostChoice(unformed.subList(0, 2))).isEmpty();
		assertThat(
				plan.initialVotersAfterLostChoice(List.of(unformed("1"), unformed("2"), unformed("3"), host("4", "d"))))
			.isEmpty();
	}

	@Test
	void unformedHostDoesNotReplaceItself() {
		VoterPlan plan = new VoterPlan(1, REPLACE_AFTER_MS);
		List<VoterPlan.Voter> voters = List.of(new VoterPlan.Voter("1", "s1", "a"), new VoterPlan.Voter("2", "s2", "b"),
				new VoterPlan.Voter("3", "s3", "c"));
		List<HostRecord> live = List.of(unformed("1"), new HostRecord("2", "b", 1, "s2", HostState.READY),
				new HostRecord("3", "c", 1, "s3", HostState.READY));
		assertThat(plan.next(voters, live, 0)).isNull();
	}

	private static HostRecord unformed(String hostId) {
		return new HostRecord(hostId, "domain-" + hostId, 1, HostRecord.UNFORMED, HostState.STARTING);
	}

	private static HostRecord host(String id, String domain) {
		return new HostRecord(id, domain, 1, "store-" + id, HostState.READY);
	}

	private static HostRecord diskless(String id, String domain) {
		return new HostRecord(id, domain, 1, null, HostState.READY);
	}

}
