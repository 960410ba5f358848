package io.fescuehold.core.agreement;

import java.util.HashSet;
import java.util.Set;

/**
 * A simulated network that loses, duplicates, delays and reorders messages and whose
 * links can be cut in one or both directions.
 */
final class SimNetwork {

	double lossRate;

	double duplicateRate;

	int maxDelayMs = 3;

	int lateDelayMs;

	private final Simulation simulation;

	private final Set<String> cutLinks = new HashSet<>();

	SimNetwork(Simulation simulation) {
		this.simulation = simulation;
	}

	void cutLink(String fromHostId, String toHostId) {
		this.cutLinks.add(fromHostId + ">" + toHostId);
	}

	void isolate(String hostId) {
		for (SimHost other : this.simulation.hosts.values()) {
			cutLink(hostId, other.hostId);
			cutLink(other.hostId, hostId);
		}
	}

	void heal() {
		this.cutLinks.clear();
	}

	void clearFaults() {
		heal();
		this.lossRate = 0;
		this.duplicateRate = 0;
		this.lateDelayMs = 0;
	}

	void send(String fromHostId, String toHostId, AgreementMessage message) {
		if (this.simulation.random.nextDouble() < this.lossRate) {
			return;
		}
		deliverLater(fromHostId, toHostId, message);
		if (this.simulation.random.nextDouble() < this.duplicateRate) {
			deliverLater(fromHostId, toHostId, message);
		}
	}

	private void deliverLater(String fromHostId, String toHostId, AgreementMessage message) {
		long delayMs = this.simulation.random.nextInt(this.maxDelayMs + 1);
		boolean late = this.lateDelayMs > 0 && this.simulation.random.nextInt(20) == 0;
		if (late) {
			delayMs += this.simulation.random.nextInt(this.lateDelayMs);
		}
		this.simulation.schedule(delayMs, () -> deliver(fromHostId, toHostId, message));
	}

	private void deliver(String fromHostId, String toHostId, AgreementMessage message) {
		SimHost receiver = this.simulation.hosts.get(toHostId);
		if (receiver != null && !this.cutLinks.contains(fromHostId + ">" + toHostId)) {
			receiver.schedule(0, () -> receiver.node.receive(receiver.clockMs(), message));
		}
	}

}
