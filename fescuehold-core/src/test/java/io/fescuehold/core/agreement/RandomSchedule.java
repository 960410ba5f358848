package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * A random schedule of faults, proposals, reads and membership changes, followed by a
 * fault-free period in which the group must recover and the history is checked.
 */
final class RandomSchedule {

	private static final int STEPS = 60;

	private static final long RECOVERY_LIMIT_MS = 60_000;

	private final long seed;

	private final Random random;

	private final Simulation simulation;

	private final boolean losesDisks;

	private String lostHostId;

	private long replaceCommandId;

	private int lastRequestNumber;

	RandomSchedule(long seed, Simulation.Faults faults) {
		this.seed = seed;
		this.random = new Random(seed * 31 + 7);
		this.simulation = new Simulation(seed, faults, this.random.nextBoolean() ? 3 : 5, 2);
		this.losesDisks = this.random.nextBoolean();
	}

	/**
	 * Runs the schedule.
	 * @return the event counts
	 */
	Totals run() {
		try {
			this.simulation.network.lossRate = this.random.nextInt(3) * 0.05;
			this.simulation.network.duplicateRate = this.random.nextInt(3) * 0.05;
			this.simulation.network.lateDelayMs = this.random.nextInt(3) * 200;
			this.simulation.network.maxDelayMs = 1 + this.random.nextInt(10);
			this.simulation.slowSyncMs = this.random.nextInt(3) * 150;
			this.simulation.startAll();
			this.simulation.run(this.random.nextInt(1_000));
			for (int step = 0; step < STEPS; step++) {
				performRandomStep();
				this.simulation.run(this.random.nextInt(120));
			}
			recover();
			this.simulation.clients.checkFinal();
		}
		catch (AssertionError | RuntimeException ex) {
			throw new AssertionError("Seed " + this.seed + ": " + ex.getMessage() + this.simulation.describe(), ex);
		}
		SimClients clients = this.simulation.clients;
		return new Totals(clients.acknowledged.size(), clients.readsGranted, clients.changesDone.size(),
				this.simulation.checker.snapshotInstalls);
	}

	private void performRandomStep() {
		for (SimHost host : this.simulation.hosts.values()) {
			if (host.isLeader()) {
				int proposals = this.random.nextInt(8);
				for (int i = 0; i < proposals; i++) {
					this.simulation.clients.propose(host);
				}
				this.simulation.clients.read(host);
			}
		}
		SimHost host = randomHost();
		switch (this.random.nextInt(16)) {
			case 0, 1 -> crashOrStart(host);
			case 2 -> startAll();
			case 3 -> this.simulation.network.isolate(host.hostId);
			case 4 -> cutOneWay();
			case 5 -> cutLeaderOneWay();
			case 6, 7 -> this.simulation.network.heal();
			case 8 -> host.pausedUntilMs = this.simulation.nowMs + this.random.nextInt(500);
			case 9, 10, 11 -> changeMembership();
			case 12 -> handOver();
			case 13 -> crashLeader();
			case 14 -> loseOrReplaceDisk(host);
			default -> this.simulation.clients.propose(host);
		}
	}

	private void crashOrStart(SimHost host) {
		if (host.isUp()) {
			host.crash();
		}
		else {
			host.start();
		}
	}

	private void crashLeader() {
		SimHost leader = this.simulation.leader();
		if (leader != null) {
			leader.crash();
		}
	}

	private void startAll() {
		this.simulation.hosts.values().stream().filter((host) -> !host.isUp()).forEach(SimHost::start);
	}

	private void cutOneWay() {
		int links = 1 + this.random.nextInt(4);
		for (int i = 0; i < links; i++) {
			this.simulation.network.cutLink(randomHost().hostId, randomHost().hostId);
		}
	}

	private void cutLeaderOneWay() {
		SimHost leader = this.simulation.leader();
		if (leader == null) {
			return;
		}
		boolean inbound = this.random.nextBoolean();
		for (String other : this.simulation.hosts.keySet()) {
			this.simulation.network.cutLink(inbound ? other : leader.hostId, inbound ? leader.hostId : other);
		}
	}

	private void handOver() {
		SimHost leader = this.simulation.leader();
		if (leader != null) {
			leader.schedule(0, () -> leader.node.handOver(leader.clockMs()));
		}
	}

	private void changeMembership() {
		SimHost leader = this.simulation.leader();
		if (leader == null) {
			return;
		}
		String requestId = "r" + ((this.random.nextInt(5) == 0) ? this.lastRequestNumber : ++this.lastRequestNumber);
		String target = randomHost().hostId;
		MembershipChange change = switch (this.random.nextInt(3)) {
			case 0 -> MembershipChange.add(requestId, target);
			case 1 -> MembershipChange.replace(requestId, randomHost().hostId, target);
			default -> {
				boolean keepsThree = leader.node.membership().voters().size() > 3;
				yield (keepsThree && !this.losesDisks) ? MembershipChange.remove(requestId, target)
						: MembershipChange.add(requestId, target);
			}
		};
		this.simulation.clients.change(leader, change);
	}

	private void loseOrReplaceDisk(SimHost host) {
		if (!this.losesDisks) {
			return;
		}
		if (this.lostHostId == null) {
			if (host.isUp() && !host.node.membership().members().isEmpty()) {
				this.lostHostId = host.hostId;
				this.replaceCommandId = 0;
				host.loseDisk();
				host.start();
			}
			return;
		}
		replaceLostDisk();
	}

	/**
	 * Requests the replacement of the replica whose disk was lost, unless it is done.
	 * @return whether no replacement is outstanding
	 */
	private boolean replaceLostDisk() {
		if (this.lostHostId == null || this.simulation.clients.changesDone.contains(this.replaceCommandId)) {
			this.lostHostId = null;
			return true;
		}
		SimHost leader = this.simulation.leader();
		if (leader != null) {
			boolean listed = leader.node.membership()
				.members()
				.stream()
				.anyMatch((member) -> member.id().hostId().equals(this.lostHostId)
						&& !member.id().storeId().equals(this.simulation.host(this.lostHostId).disk.storeId));
			if (!listed && leader.node.membership().pending() == null
					&& leader.node.commitIndex() == leader.node.lastIndex()) {
				this.lostHostId = null;
				return true;
			}
			this.replaceCommandId = this.simulation.clients.change(leader,
					MembershipChange.replace(
							"lost-" + this.lostHostId + "-" + this.simulation.host(this.lostHostId).disk.storeId,
							this.lostHostId, this.lostHostId));
		}
		return false;
	}

	private void recover() {
		this.simulation.network.clearFaults();
		this.simulation.slowSyncMs = 0;
		startAll();
		long endMs = this.simulation.nowMs + RECOVERY_LIMIT_MS;
		while (!(replaceLostDisk() && isConverged())) {
			if (this.simulation.nowMs > endMs) {
				throw new AssertionError("Not recovered within " + RECOVERY_LIMIT_MS + " ms");
			}
			if (this.simulation.leader() != null) {
				this.simulation.clients.propose(this.simulation.leader());
			}
			this.simulation.run(300);
		}
	}

	private boolean isConverged() {
		SimHost leader = this.simulation.leader();
		if (leader == null || leader.node.commitIndex() != leader.node.lastIndex()
				|| leader.node.membership().pending() != null) {
			return false;
		}
		return leader.node.membership().members().stream().allMatch((member) -> {
			SimHost host = this.simulation.host(member.id().hostId());
			return host.node.self().equals(member.id()) && host.node.appliedIndex() == leader.node.commitIndex();
		});
	}

	private SimHost randomHost() {
		List<SimHost> all = new ArrayList<>(this.simulation.hosts.values());
		return all.get(this.random.nextInt(all.size()));
	}

	/**
	 * Event counts summed over schedules.
	 *
	 * @param acknowledged proposals acknowledged
	 * @param reads reads granted
	 * @param changes membership changes done
	 * @param installs snapshots installed from a leader
	 */
	record Totals(long acknowledged, long reads, long changes, long installs) {

		static final Totals ZERO = new Totals(0, 0, 0, 0);

		Totals plus(Totals other) {
			return new Totals(this.acknowledged + other.acknowledged, this.reads + other.reads,
					this.changes + other.changes, this.installs + other.installs);
		}

	}

}
