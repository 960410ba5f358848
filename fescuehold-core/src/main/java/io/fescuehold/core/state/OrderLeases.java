package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The order leases of a share's model servers.
 */
final class OrderLeases {

	/**
	 * The maximum length of a lease. It limits how long a share that claims a server must
	 * wait for the expiry of a lease that the releasing share has granted.
	 */
	static final long MAX_LEASE_MS = 60_000;

	private final SortedMap<String, OrderLease> leases = new TreeMap<>();

	private long lastFencingNumber;

	/**
	 * Grants or refuses a lease. Fencing numbers are derived from the leader's time
	 * instead of the log index, because a server that moves to another share keeps the
	 * highest number it has seen and log indexes of two groups are not comparable.
	 * @param command the command
	 * @param checksFencing whether the server rejects outdated fencing numbers
	 * @param claimedAtMs the time in milliseconds since the epoch at which the share
	 * claimed the server, or {@link Long#MIN_VALUE} if it did not
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the outcome
	 */
	StateOutcome acquire(StateCommand.AcquireOrderLease command, boolean checksFencing, long claimedAtMs, long nowMs) {
		OrderLease lease = this.leases.get(command.serverId());
		if (!checksFencing) {
			long waitUntilMs = waitUntilMs(command, lease, claimedAtMs);
			if (waitUntilMs > nowMs) {
				return new StateOutcome.LeaseHeld((lease != null) ? lease.holder() : "", waitUntilMs - nowMs);
			}
		}
		this.lastFencingNumber = Math.max(nowMs, this.lastFencingNumber + 1);
		long leaseMs = Math.clamp(command.leaseMs(), 1, MAX_LEASE_MS);
		OrderLease granted = new OrderLease(command.serverId(), command.holder(), this.lastFencingNumber,
				nowMs + leaseMs, leaseMs);
		this.leases.put(command.serverId(), granted);
		return new StateOutcome.LeaseGranted(granted.fencingNumber(), granted.expiresAtMs());
	}

	private static long waitUntilMs(StateCommand.AcquireOrderLease command, OrderLease lease, long claimedAtMs) {
		long transferWaitUntilMs = (claimedAtMs != Long.MIN_VALUE) ? claimedAtMs + MAX_LEASE_MS + MAX_LEASE_MS / 10
				: Long.MIN_VALUE;
		if (lease == null) {
			return transferWaitUntilMs;
		}
		if (lease.holder().equals(command.holder())) {
			return Long.MIN_VALUE;
		}
		return Math.max(transferWaitUntilMs, lease.latestExpiryAtMs());
	}

	/**
	 * Removes the leases that have expired, including the margin for clock drift.
	 * @param nowMs the time in milliseconds since the epoch
	 */
	void expire(long nowMs) {
		this.leases.values().removeIf((lease) -> lease.latestExpiryAtMs() <= nowMs);
	}

	/**
	 * Returns the highest fencing number granted.
	 * @return the number
	 */
	long lastFencingNumber() {
		return this.lastFencingNumber;
	}

	/**
	 * Returns the leases.
	 * @return the leases by server id
	 */
	List<OrderLease> entries() {
		return new ArrayList<>(this.leases.values());
	}

	/**
	 * Replaces the leases.
	 * @param entries the leases
	 * @param newLastFencingNumber the highest fencing number granted
	 */
	void restore(List<OrderLease> entries, long newLastFencingNumber) {
		this.leases.clear();
		entries.forEach((lease) -> this.leases.put(lease.serverId(), lease));
		this.lastFencingNumber = newLastFencingNumber;
	}

}
