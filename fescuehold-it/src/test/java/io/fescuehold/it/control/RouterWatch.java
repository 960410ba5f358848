package io.fescuehold.it.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * Polls the configuration in force at every router. Records a violation when the number
 * at a router decreases, also over a restart, and when a number has two digests.
 */
final class RouterWatch implements AutoCloseable {

	private static final long POLL_INTERVAL_MS = 10;

	private final Queue<String> violations = new ConcurrentLinkedQueue<>();

	private final Map<String, String> digests = new ConcurrentHashMap<>();

	private final Map<String, Long> lastNumbers = new ConcurrentHashMap<>();

	private final AtomicLong reads = new AtomicLong();

	private final List<Thread> threads = new ArrayList<>();

	private final ControlFleet fleet;

	private final List<String> shares;

	private final BiConsumer<String, Map<String, Reply>> check;

	private volatile boolean stopped;

	RouterWatch(ControlFleet fleet, String... shares) {
		this(fleet, fleet.hostIds(), List.of(shares), (hostId, replies) -> {
		});
	}

	/**
	 * Starts polling.
	 * @param fleet the fleet
	 * @param hostIds the routers to poll
	 * @param shares the shares in the order in which they are read
	 * @param check the check that receives the host id and the responses by share in each
	 * round
	 */
	RouterWatch(ControlFleet fleet, Collection<String> hostIds, List<String> shares,
			BiConsumer<String, Map<String, Reply>> check) {
		this.fleet = fleet;
		this.shares = shares;
		this.check = check;
		hostIds.forEach((hostId) -> this.threads.add(Thread.ofVirtual().start(() -> poll(hostId))));
	}

	private void poll(String hostId) {
		while (!this.stopped) {
			try {
				Map<String, Reply> replies = new LinkedHashMap<>();
				for (String share : this.shares) {
					replies.put(share, read(hostId, share));
				}
				this.check.accept(hostId, replies);
				Thread.sleep(POLL_INTERVAL_MS);
			}
			catch (CompletionException ex) {
				// The daemon is not running or is frozen.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
			catch (RuntimeException ex) {
				this.violations.add("the check at router " + hostId + " failed: " + ex);
			}
		}
	}

	private Reply read(String hostId, String share) {
		long previousNumber = this.lastNumbers.getOrDefault(hostId + " " + share, -1L);
		Reply reply = this.fleet.readInForce(hostId, share);
		this.reads.incrementAndGet();
		if (reply.number() < previousNumber) {
			this.violations
				.add("router " + hostId + " went from " + share + " " + previousNumber + " back to " + reply.number());
		}
		if (reply.isAccepted()) {
			this.lastNumbers.merge(hostId + " " + share, reply.number(), Math::max);
			String previousDigest = this.digests.putIfAbsent(share + " " + reply.number(), reply.digest());
			if (previousDigest != null && !previousDigest.equals(reply.digest())) {
				this.violations.add(share + " " + reply.number() + " has two digests, one of them at " + hostId);
			}
		}
		return reply;
	}

	void addViolation(String violation) {
		this.violations.add(violation);
	}

	/**
	 * Forgets the last numbers of a router whose disk was lost, so that it may start
	 * again without a configuration.
	 * @param hostId the router, which must not be running
	 */
	void forget(String hostId) {
		this.shares.forEach((share) -> this.lastNumbers.remove(hostId + " " + share));
	}

	long reads() {
		return this.reads.get();
	}

	List<String> violations() {
		return List.copyOf(this.violations);
	}

	@Override
	public void close() {
		this.stopped = true;
		for (Thread thread : this.threads) {
			try {
				thread.join();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException("The wait was interrupted", ex);
			}
		}
	}

}
