package io.fescuehold.it.control;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.it.harness.Eventually;

/**
 * Submits changes one after the other until it is closed, sends a change again when the
 * response is lost, and records each response. Several operators may compete for the same
 * configuration numbers.
 */
final class Operator implements AutoCloseable {

	private static final int HTTP_CONFLICT = 409;

	private final AtomicBoolean stopped = new AtomicBoolean();

	private final ControlFleet fleet;

	private final String share;

	private final String name;

	private final AcceptedChanges accepted;

	private final Thread thread;

	private volatile long number;

	Operator(ControlFleet fleet, String share, String name, AcceptedChanges accepted) {
		this.fleet = fleet;
		this.share = share;
		this.name = name;
		this.accepted = accepted;
		this.number = fleet.latestNumber(share) + 1;
		this.thread = Thread.ofVirtual().name("operator-" + name).start(this::run);
	}

	private void run() {
		List<String> hosts = this.fleet.hostIds();
		for (int turn = 0; !this.stopped.get(); turn++) {
			String hostId = hosts.get(turn % hosts.size());
			if (this.fleet.daemon(hostId).isAlive()) {
				submit(hostId);
			}
		}
	}

	private void submit(String hostId) {
		ShareConfig config = ControlFleet.createConfig(this.share, this.number, this.name);
		try {
			Reply reply = this.fleet.submit(hostId, this.share, config).join();
			if (reply.isAccepted()) {
				this.accepted.add(config, this.name, reply);
				this.number++;
			}
			else if (reply.isConflict()) {
				this.accepted.addWinner(this.number, reply.body().path("winnerDigest").asText());
				this.number = reply.body().path("currentNumber").asLong() + 1;
			}
			else if (reply.status() == HTTP_CONFLICT) {
				this.accepted.violations.add("number " + this.number + " was rejected: " + reply);
			}
		}
		catch (CompletionException ex) {
			// The daemon was killed or does not respond; the next daemon gets the same
			// change.
		}
	}

	void awaitAccepted(int count) {
		long target = this.accepted.byNumber.size() + count;
		Eventually.isTrue(count + " further changes are accepted", ControlFleet.IN_FORCE_TIMEOUT,
				() -> this.accepted.byNumber.size() >= target);
	}

	@Override
	public void close() {
		this.stopped.set(true);
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The wait was interrupted", ex);
		}
	}

	/**
	 * The accepted changes and the violations of consistency.
	 */
	static final class AcceptedChanges {

		private final Map<Long, Change> byNumber = new ConcurrentHashMap<>();

		private final Map<Long, String> digests = new ConcurrentHashMap<>();

		private final Queue<String> violations = new ConcurrentLinkedQueue<>();

		private void add(ShareConfig config, String operator, Reply reply) {
			addWinner(config.number(), ConfigJson.digest(config));
			this.byNumber.put(config.number(), new Change(config, operator, reply));
		}

		private void addWinner(long number, String digest) {
			String other = this.digests.putIfAbsent(number, digest);
			if (other != null && !other.equals(digest)) {
				this.violations.add("number " + number + " was won by " + digest + " and by " + other);
			}
		}

		int count() {
			return this.byNumber.size();
		}

		/**
		 * Sends every accepted change again and checks that the response is the same.
		 * @param fleet the fleet
		 * @return the descriptions of all violations
		 */
		List<String> violations(ControlFleet fleet) {
			this.byNumber.values().forEach((change) -> {
				Reply again = fleet.submitUntilAccepted(
						fleet.hostIds().stream().filter((hostId) -> fleet.daemon(hostId).isAlive()).toList(),
						change.config());
				if (!again.body().equals(change.reply().body())) {
					this.violations.add(change.reply() + " became " + again);
				}
			});
			return List.copyOf(this.violations);
		}

	}

	/**
	 * An accepted change.
	 *
	 * @param config the configuration
	 * @param operator the operator
	 * @param reply the first response
	 */
	record Change(ShareConfig config, String operator, Reply reply) {
	}

}
