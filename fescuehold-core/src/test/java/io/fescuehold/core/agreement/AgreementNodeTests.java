package io.fescuehold.core.agreement;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that groups of three hosts and of one host form, elect a leader and commit.
 */
class AgreementNodeTests {

	@Test
	void groupFormsAndCommits() {
		Simulation simulation = new Simulation(1, Simulation.Faults.NONE, 3, 0);
		simulation.startAll();
		SimHost leader = simulation.awaitLeader();
		long id = simulation.clients.propose(leader);
		assertThat(simulation.runUntil(1_000, () -> simulation.clients.acknowledged.containsKey(id))).isTrue();
	}

	@Test
	void groupOfOneFormsAndCommits() {
		Simulation simulation = new Simulation(1, Simulation.Faults.NONE, 1, 0);
		simulation.startAll();
		SimHost leader = simulation.awaitLeader();
		long id = simulation.clients.propose(leader);
		assertThat(simulation.runUntil(1_000, () -> simulation.clients.acknowledged.containsKey(id))).isTrue();
	}

}
