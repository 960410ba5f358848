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
 * Reads the configuration in force at every router again and again. Notes every number
 * that goes back, also over a restart, and every number with two contents.
 */
final class RouterWatch implements AutoCloseable {

	private static final long PAUSE_MS = 10;

	private final Queue<String> violations = new ConcurrentLinkedQueue<>();

	private final Map<String, String> digests = new ConcurrentHashMap<>();

	private final Map<String, Long> last = new ConcurrentHashMap<>();

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
	 * Starts to read.
	 * @param fleet the fleet
	 * @param hostIds the routers to read from
	 * @param shares the shares in the order in which they are read
	 * @param check receives the answers of each round by share
	 */
	RouterWatch(ControlFleet fleet, Collection<String> hostIds, List<String> shares,
			BiConsumer<String, Map<String, Reply>> check) {
		this.fleet = fleet;
		this.shares = shares;
		this.check = check;
		hostIds.forEach((hostId) -> this.threads.add(Thread.ofVirtual().start(() -> watch(hostId))));
	}

	private void watch(String hostId) {
		while (!this.stopped) {
			try {
				Map<String, Reply> replies = new LinkedHashMap<>();
				for (String share : this.shares) {
					replies.put(share, read(hostId, share));
				}
				this.check.accept(hostId, replies);
				Thread.sleep(PAUSE_MS);
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
		long before = this.last.getOrDefault(hostId + " " + share, -1L);
		Reply reply = this.fleet.stale(hostId, share);
		this.reads.incrementAndGet();
		if (reply.number() < before) {
			this.violations
				.add("router " + hostId + " went from " + share + " " + before + " back to " + reply.number());
		}
		if (reply.isAccepted()) {
			this.last.merge(hostId + " " + share, reply.number(), Math::max);
			String digest = this.digests.putIfAbsent(share + " " + reply.number(), reply.digest());
			if (digest != null && !digest.equals(reply.digest())) {
				this.violations.add(share + " " + reply.number() + " has two contents, one at " + hostId);
			}
		}
		return reply;
	}

	void note(String violation) {
		this.violations.add(violation);
	}

	/**
	 * Allows a router to begin anew, because its disk was lost.
	 * @param hostId the router, which does not run
	 */
	void forget(String hostId) {
		this.shares.forEach((share) -> this.last.remove(hostId + " " + share));
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
