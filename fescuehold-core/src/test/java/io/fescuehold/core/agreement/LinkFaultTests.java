package io.fescuehold.core.agreement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a broken link or a slow disk that deposes a leader, and against an
 * isolated leader that keeps serving.
 */
class LinkFaultTests {

	private final Simulation simulation = new Simulation(3, Simulation.Faults.NONE, 3, 0);

	private SimHost leader;

	private SimHost follower;

	private void startGroup() {
		this.simulation.startAll();
		this.leader = this.simulation.awaitLeader();
		this.simulation.run(300);
		this.follower = this.simulation.hosts.values()
			.stream()
			.filter((host) -> host != this.leader)
			.findFirst()
			.orElseThrow();
	}

	@Test
	void linkCutFromLeaderToFollowerKeepsLeader() {
		startGroup();
		long term = this.leader.node.term();
		this.simulation.network.cutLink(this.leader.hostId, this.follower.hostId);
		this.simulation.run(5_000);
		assertThat(this.leader.isLeader()).isTrue();
		this.simulation.network.heal();
		this.simulation.run(1_000);
		assertThat(this.leader.isLeader()).isTrue();
		assertThat(this.follower.node.term()).isEqualTo(term);
	}

	@Test
	void linkCutFromFollowerToLeaderKeepsLeader() {
		startGroup();
		long term = this.leader.node.term();
		this.simulation.network.cutLink(this.follower.hostId, this.leader.hostId);
		this.simulation.run(5_000);
		this.simulation.network.heal();
		this.simulation.run(1_000);
		assertThat(this.leader.isLeader()).isTrue();
		assertThat(this.leader.node.term()).isEqualTo(term);
	}

	@Test
	void slowDiskOfFollowerKeepsLeader() {
		startGroup();
		long term = this.leader.node.term();
		this.follower.syncsHang = true;
		for (int i = 0; i < 50; i++) {
			this.simulation.clients.propose(this.leader);
			this.simulation.run(50);
		}
		assertThat(this.leader.node.term()).isEqualTo(term);
		assertThat(this.leader.node.hasLease(this.leader.clockMs())).isTrue();
		assertThat(this.simulation.clients.acknowledged).hasSize(50);
	}

	@Test
	void leaderWhoseDiskHangsHandsOver() {
		startGroup();
		this.leader.syncsHang = true;
		long first = this.simulation.clients.propose(this.leader);
		this.simulation.run(2_000);
		assertThat(this.simulation.clients.acknowledged).containsKey(first);
		assertThat(this.simulation.leader()).isNotSameAs(this.leader);
		long second = this.simulation.clients.propose(this.simulation.leader());
		this.simulation.run(200);
		assertThat(this.simulation.clients.acknowledged).containsKey(second);
	}

	@Test
	void leaderThatReceivesNothingStepsDownAndIsReplaced() {
		startGroup();
		for (String other : this.simulation.hosts.keySet()) {
			this.simulation.network.cutLink(other, this.leader.hostId);
		}
		this.simulation.run(1_000);
		assertThat(this.leader.isLeader()).isFalse();
		assertThat(this.simulation.leader()).isNotNull().isNotSameAs(this.leader);
	}

	@Test
	void isolatedLeaderStopsServingWhenItsLeaseExpires() {
		startGroup();
		this.simulation.network.isolate(this.leader.hostId);
		boolean ended = this.simulation.runUntil(Simulation.TIMING.leaseMs() * 2,
				() -> !this.leader.node.hasLease(this.leader.clockMs()));
		assertThat(ended).isTrue();
		assertThat(this.leader.isLeader()).as("has not stepped down yet").isTrue();
		long proposal = this.simulation.clients.propose(this.leader);
		this.simulation.clients.read(this.leader);
		this.simulation.run(1);
		assertThat(this.simulation.clients.refused).contains(proposal);
		assertThat(this.simulation.clients.readsFailed).isEqualTo(1);
		assertThat(this.simulation.clients.readsGranted).isZero();
	}

	@Test
	void frozenLeaderServesNoReadWhenItResumes() {
		startGroup();
		this.leader.pausedUntilMs = this.simulation.nowMs + 2_000;
		this.simulation.run(1_000);
		SimHost next = this.simulation.leader();
		assertThat(this.simulation.runUntil(500, () -> this.simulation.leader() != this.leader)).isTrue();
		assertThat(next).isNotNull();
		long id = this.simulation.clients.propose(this.simulation.leader());
		this.simulation.clients.read(this.leader);
		this.simulation.run(2_000);
		assertThat(this.simulation.clients.acknowledged).containsKey(id);
		assertThat(this.simulation.clients.readsGranted).isZero();
	}

	@Test
	void handOverMovesLeadershipWithoutLosingProposals() {
		startGroup();
		long term = this.leader.node.term();
		long id = this.simulation.clients.propose(this.leader);
		this.simulation.run(1);
		this.leader.runNow(() -> this.leader.node.handOver(this.leader.clockMs()));
		assertThat(this.simulation.runUntil(90, () -> this.simulation.leader() != this.leader)).isTrue();
		this.simulation.run(90);
		assertThat(this.simulation.leader().node.term()).isEqualTo(term + 1);
		assertThat(this.simulation.clients.acknowledged).containsKey(id);
	}

}
