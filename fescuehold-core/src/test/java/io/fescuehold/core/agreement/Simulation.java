package io.fescuehold.core.agreement;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * Deterministic simulation of hosts with one agreement group, driven by a seed.
 */
final class Simulation {

	static final String GROUP = "simulated";

	static final AgreementTiming TIMING = new AgreementTiming(20, 100, 80, 25);

	final Random random;

	final Map<String, SimHost> hosts = new LinkedHashMap<>();

	final SimNetwork network = new SimNetwork(this);

	final HistoryChecker checker = new HistoryChecker();

	final SimClients clients = new SimClients(this);

	final Faults faults;

	long nowMs;

	int slowSyncMs;

	private final List<String> initialHostIds;

	private final Map<String, String> failureDomains = new LinkedHashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::timeMs).thenComparingLong(Event::number));

	private long lastEvent;

	Simulation(long seed, Faults faults, int initialHosts, int spareHosts) {
		this.random = new Random(seed);
		this.faults = faults;
		for (int i = 1; i <= initialHosts + spareHosts; i++) {
			this.failureDomains.put("h" + i, "d" + (i % 3));
		}
		this.initialHostIds = this.failureDomains.keySet().stream().limit(initialHosts).toList();
		this.failureDomains.keySet().forEach((hostId) -> this.hosts.put(hostId, new SimHost(hostId, this)));
	}

	AgreementOptions options(ReplicaId self) {
		return new AgreementOptions(GROUP, self, this.initialHostIds, this.failureDomains, TIMING, 10, 20, 400, 50);
	}

	void startAll() {
		this.hosts.values().forEach(SimHost::start);
	}

	SimHost host(String hostId) {
		return this.hosts.get(hostId);
	}

	void schedule(long delayMs, Runnable action) {
		this.events.add(new Event(this.nowMs + delayMs, ++this.lastEvent, action));
	}

	long syncDelayMs() {
		return this.random.nextInt(5)
				+ ((this.slowSyncMs > 0 && this.random.nextInt(10) == 0) ? this.random.nextInt(this.slowSyncMs) : 0);
	}

	void run(long durationMs) {
		runUntil(durationMs, () -> false);
	}

	/**
	 * Runs until a condition holds or the time limit is reached.
	 * @param limitMs the maximum simulated time in milliseconds
	 * @param condition the condition
	 * @return whether it holds
	 */
	boolean runUntil(long limitMs, BooleanSupplier condition) {
		long endMs = this.nowMs + limitMs;
		while (!condition.getAsBoolean()) {
			Event next = this.events.peek();
			if (next == null || next.timeMs() > endMs) {
				this.nowMs = endMs;
				return condition.getAsBoolean();
			}
			this.events.poll();
			this.nowMs = next.timeMs();
			next.action().run();
		}
		return true;
	}

	/**
	 * Returns the host that leads the newest term.
	 * @return the host, or null
	 */
	SimHost leader() {
		return this.hosts.values()
			.stream()
			.filter(SimHost::isLeader)
			.max(Comparator.comparingLong((host) -> host.node.term()))
			.orElse(null);
	}

	SimHost awaitLeader() {
		boolean found = runUntil(5_000, () -> leader() != null && leader().node.hasLease(leader().clockMs()));
		if (!found) {
			throw new AssertionError("No leader within 5 s: " + describe());
		}
		return leader();
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		for (SimHost host : this.hosts.values()) {
			AgreementNode node = host.node;
			text.append('\n').append(host.hostId).append(' ');
			if (node == null) {
				text.append("down");
				continue;
			}
			text.append(node.self() + " " + node.role() + " term " + node.term() + " last " + node.lastIndex()
					+ " committed " + node.commitIndex() + " compacted " + node.compactedIndex() + " "
					+ node.membership().members() + " pending " + node.membership().pending());
		}
		return text.toString();
	}

	/**
	 * Faults of the durability rules that a test injects.
	 *
	 * @param voteBeforeSync whether votes are acknowledged before their sync
	 * @param appendBeforeSync whether appends are acknowledged before their sync
	 */
	record Faults(boolean voteBeforeSync, boolean appendBeforeSync) {

		static final Faults NONE = new Faults(false, false);

	}

	/**
	 * A scheduled action.
	 *
	 * @param timeMs the simulated time in milliseconds
	 * @param number the sequence number, which orders events of equal time
	 * @param action the action
	 */
	private record Event(long timeMs, long number, Runnable action) {
	}

}
