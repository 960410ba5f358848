package io.fescuehold.core.agreement;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against votes from replicas that lost their disk and against membership changes
 * that cost the group its majority.
 */
class MembershipTests {

	private Simulation simulation;

	private SimHost leader;

	private void startGroup(int initialHosts, int spareHosts) {
		this.simulation = new Simulation(5, Simulation.Faults.NONE, initialHosts, spareHosts);
		this.simulation.startAll();
		this.leader = this.simulation.awaitLeader();
		this.simulation.run(300);
	}

	@Test
	void groupDoesNotFormWhileAnInitialHostIsDown() {
		this.simulation = new Simulation(5, Simulation.Faults.NONE, 3, 0);
		this.simulation.host("h1").start();
		this.simulation.host("h2").start();
		this.simulation.run(5_000);
		assertThat(this.simulation.host("h1").node.lastIndex()).isZero();
		this.simulation.host("h3").start();
		assertThat(this.simulation.awaitLeader()).isNotNull();
	}

	@Test
	void initialHostThatReceivedNothingMayVoteAfterCompaction() {
		this.simulation = new Simulation(5, Simulation.Faults.NONE, 3, 0);
		this.simulation.startAll();
		SimHost first = this.simulation.host("h1");
		SimHost late = this.simulation.host("h3");
		assertThat(this.simulation.runUntil(2_000, () -> first.node.lastIndex() > 0)).isTrue();
		this.simulation.network.isolate(late.hostId);
		this.leader = this.simulation.awaitLeader();
		for (int i = 0; i < 100; i++) {
			this.simulation.clients.propose(this.leader);
			this.simulation.run(5);
		}
		assertThat(late.node.lastIndex()).isZero();
		assertThat(this.simulation.host("h2").node.compactedIndex()).isPositive();
		first.loseDisk();
		this.simulation.host("h2").crash();
		this.simulation.network.heal();
		this.simulation.host("h2").start();
		assertThat(this.simulation.awaitLeader()).isSameAs(this.simulation.host("h2"));
		this.simulation.run(500);
		assertThat(late.node.appliedIndex()).isEqualTo(this.simulation.host("h2").node.appliedIndex());
	}

	@Test
	void replicaThatLostItsDiskNeitherVotesNorStartsElections() {
		startGroup(3, 0);
		List<SimHost> others = others();
		others.getFirst().loseDisk();
		others.getFirst().start();
		others.getLast().crash();
		this.simulation.run(5_000);
		assertThat(this.simulation.leader()).as("one of three voters is left").isNull();
		assertThat(others.getFirst().node.term()).isZero();
		assertThat(others.getFirst().node.membership().members()).isEmpty();
		others.getLast().start();
		assertThat(this.simulation.awaitLeader()).isNotSameAs(others.getFirst());
	}

	@Test
	void replaceIsDoneOnlyWhenTheNewVoterHasEverythingAndTheLostOneIsRemoved() {
		startGroup(3, 1);
		for (int i = 0; i < 100; i++) {
			this.simulation.clients.propose(this.leader);
			this.simulation.run(5);
		}
		SimHost lost = others().getFirst();
		lost.crash();
		MembershipChange change = MembershipChange.replace("r1", lost.hostId, "h4");
		long command = this.simulation.clients.change(this.leader, change);
		assertThat(awaitDone(command)).isTrue();
		assertThat(voters()).contains("h4").doesNotContain(lost.hostId);
		assertThat(this.simulation.host("h4").disk.load().entries().getLast().index()).as("durable at the new voter")
			.isGreaterThanOrEqualTo(this.leader.node.commitIndex());
		others().stream().filter((host) -> host != lost && !host.hostId.equals("h4")).forEach(SimHost::crash);
		long proposal = this.simulation.clients.propose(this.simulation.awaitLeader());
		assertThat(this.simulation.runUntil(1_000, () -> this.simulation.clients.acknowledged.containsKey(proposal)))
			.as("a second host may be lost right after the repair")
			.isTrue();
	}

	@Test
	void replaceIsNotDoneWhileTheNewVoterDoesNotSync() {
		startGroup(3, 1);
		SimHost lost = others().getFirst();
		lost.crash();
		this.simulation.host("h4").syncsHang = true;
		long command = this.simulation.clients.change(this.leader, MembershipChange.replace("r1", lost.hostId, "h4"));
		this.simulation.run(3_000);
		assertThat(this.simulation.clients.changesDone).isEmpty();
		assertThat(voters()).contains(lost.hostId).doesNotContain("h4");
		assertThat(this.simulation.clients.changesFailed).doesNotContain(command);
	}

	@Test
	void replaceIsSafeToResendAndContinuesUnderTheNextLeader() {
		startGroup(3, 2);
		SimHost lost = others().getFirst();
		lost.crash();
		MembershipChange change = MembershipChange.replace("r1", lost.hostId, "h4");
		this.simulation.clients.change(this.leader, change);
		this.simulation.runUntil(2_000, () -> this.leader.node.membership().pending() != null);
		SimHost old = this.leader;
		old.crash();
		this.simulation.run(50);
		old.start();
		SimHost next = this.simulation.awaitLeader();
		long again = this.simulation.clients.change(next, change);
		assertThat(awaitDone(again)).isTrue();
		long third = this.simulation.clients.change(this.simulation.awaitLeader(), change);
		assertThat(awaitDone(third)).isTrue();
		this.leader = this.simulation.awaitLeader();
		assertThat(voters()).hasSize(3).contains("h4");
		long reused = this.simulation.clients.change(this.leader, MembershipChange.add("r1", "h5"));
		this.simulation.run(200);
		assertThat(this.simulation.clients.changesFailed).as("the id was used for another change").contains(reused);
	}

	@Test
	void returnedHostWithEmptyDiskReplacesItself() {
		startGroup(3, 0);
		SimHost lost = others().getFirst();
		lost.loseDisk();
		lost.start();
		long command = this.simulation.clients.change(this.leader,
				MembershipChange.replace("r1", lost.hostId, lost.hostId));
		assertThat(awaitDone(command)).isTrue();
		assertThat(this.leader.node.membership().hasVoter(lost.node.self())).isTrue();
		assertThat(voters()).hasSize(3);
	}

	@Test
	void removalOfTheLeaderHandsOverFirst() {
		startGroup(5, 0);
		SimHost old = this.leader;
		this.simulation.clients.change(old, MembershipChange.remove("r1", old.hostId));
		boolean removed = this.simulation.runUntil(5_000,
				() -> this.simulation.leader() != null && this.simulation.leader() != old
						&& this.simulation.leader().node.membership().findDone("r1") != null);
		assertThat(removed).isTrue();
		this.leader = this.simulation.leader();
		assertThat(voters()).hasSize(4).doesNotContain(old.hostId);
	}

	@Test
	void removalThatLosesTheMajorityIsRefused() {
		startGroup(3, 0);
		others().getFirst().crash();
		this.simulation.run(500);
		assertRefused(MembershipChange.remove("r1", others().getLast().hostId));
	}

	@Test
	void changeToOneFailureDomainIsRefusedWhenItCanBeAvoided() {
		// Domains: h1 d1, h2 d2, h3 d0, h4 d1, h5 d2.
		startGroup(1, 4);
		long second = this.simulation.clients.change(this.leader, MembershipChange.add("r1", "h2"));
		assertThat(awaitDone(second)).isTrue();
		assertRefused(MembershipChange.replace("r2", "h2", "h4"));
		long other = this.simulation.clients.change(this.leader, MembershipChange.replace("r3", "h2", "h3"));
		assertThat(awaitDone(other)).isTrue();
	}

	@Test
	void hostThatDoesNotAnswerIsRefused() {
		startGroup(3, 1);
		this.simulation.host("h4").crash();
		assertRefused(MembershipChange.add("r1", "h4"));
	}

	@Test
	void crashedLearnerDoesNotBlockTheNextChange() {
		startGroup(3, 2);
		SimHost lost = others().getFirst();
		lost.crash();
		this.simulation.host("h4").syncsHang = true;
		this.simulation.clients.change(this.leader, MembershipChange.replace("r1", lost.hostId, "h4"));
		this.simulation.run(300);
		this.simulation.host("h4").crash();
		this.simulation.run(500);
		long command = this.simulation.clients.change(this.leader, MembershipChange.replace("r2", lost.hostId, "h5"));
		assertThat(awaitDone(command)).isTrue();
		assertThat(voters()).hasSize(3).contains("h5");
	}

	@Test
	void removedMemberStaysAVoterUntilItsRemovalIsCommitted() {
		startGroup(5, 0);
		SimHost removed = others().getFirst();
		this.simulation.clients.change(this.leader, MembershipChange.remove("r1", removed.hostId));
		boolean begun = this.simulation.runUntil(1_000, () -> this.leader.node.membership().pending() != null
				&& others().stream().allMatch((host) -> host.node.lastIndex() == this.leader.node.lastIndex()));
		assertThat(begun).isTrue();
		others().stream()
			.filter((host) -> host != removed)
			.forEach((host) -> this.simulation.network.cutLink(this.leader.hostId, host.hostId));
		this.simulation.run(60);
		assertThat(voters()).as("removal is in the leader's log").doesNotContain(removed.hostId);
		assertThat(removed.node.membership().hasVoter(removed.node.self())).isTrue();
		this.leader.crash();
		this.simulation.network.heal();
		assertThat(this.simulation.awaitLeader()).isNotNull();
	}

	@Test
	void replacementOfAHostByItselfCompletesAfterItWasSuperseded() {
		startGroup(5, 1);
		SimHost lost = others().getFirst();
		lost.loseDisk();
		lost.start();
		this.simulation.clients.change(this.leader, MembershipChange.replace("r1", lost.hostId, lost.hostId));
		ReplicaId returned = lost.node.self();
		boolean promoted = this.simulation.runUntil(2_000, () -> this.leader.node.membership().hasVoter(returned));
		assertThat(promoted).isTrue();
		lost.crash();
		this.simulation.run(500);
		assertThat(awaitDone(this.simulation.clients.change(this.leader, MembershipChange.add("r2", "h6")))).isTrue();
		lost.start();
		this.simulation.run(200);
		assertThat(awaitDone(
				this.simulation.clients.change(this.leader, MembershipChange.replace("r3", lost.hostId, lost.hostId))))
			.isTrue();
		assertThat(this.leader.node.membership().voters()).hasSize(6)
			.filteredOn((member) -> member.id().hostId().equals(lost.hostId))
			.extracting(Member::id)
			.containsExactly(returned);
	}

	@Test
	void hostThatLosesItsDiskWhileItIsAddedIsAddedUnderItsNewIdentity() {
		startGroup(3, 1);
		SimHost added = this.simulation.host("h4");
		added.syncsHang = true;
		long command = this.simulation.clients.change(this.leader, MembershipChange.add("r1", "h4"));
		this.simulation.run(300);
		added.loseDisk();
		added.syncsHang = false;
		added.start();
		assertThat(awaitDone(command)).isTrue();
		assertThat(this.leader.node.membership().hasVoter(added.node.self())).isTrue();
		assertThat(this.leader.node.membership().members()).hasSize(4);
	}

	private void assertRefused(MembershipChange change) {
		Set<String> before = voters();
		long command = this.simulation.clients.change(this.leader, change);
		assertThat(this.simulation.runUntil(3_000, () -> this.simulation.clients.changesFailed.contains(command)))
			.isTrue();
		assertThat(voters()).isEqualTo(before);
	}

	private boolean awaitDone(long command) {
		return this.simulation.runUntil(5_000, () -> this.simulation.clients.changesDone.contains(command));
	}

	private List<SimHost> others() {
		return this.simulation.hosts.values().stream().filter((host) -> host != this.leader).toList();
	}

	private Set<String> voters() {
		return this.leader.node.membership()
			.voters()
			.stream()
			.map((member) -> member.id().hostId())
			.collect(Collectors.toSet());
	}

}
