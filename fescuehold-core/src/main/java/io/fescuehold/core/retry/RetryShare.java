package io.fescuehold.core.retry;

import java.util.List;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.RecentHosts;

/**
 * The part of a fleet-wide number of repeats that one host may use. Each host uses an
 * equal part, and the parts never add up to more than the whole:
 * <ul>
 * <li>hosts count in every state, and for two windows after they have left the list,
 * because what they sent lies in windows that have not ended;</li>
 * <li>a host whose list has not been confirmed for a window has no part, because the
 * others may have ceased to count it;</li>
 * <li>a process has no part in its first window, because it does not know what earlier
 * processes of its host have sent, unless it belongs to the first start of the
 * fleet.</li>
 * </ul>
 * Not thread-safe.
 */
public final class RetryShare {

	private final long windowMs;

	private final long entitledFromMs;

	private final RecentHosts hosts;

	/**
	 * Creates the share of a process.
	 * @param windowMs the length in milliseconds of the window over which repeats are
	 * limited
	 * @param firstStart whether no process of the fleet has run before
	 * @param startedAtMs the time in milliseconds at which the process started
	 */
	public RetryShare(long windowMs, boolean firstStart, long startedAtMs) {
		this.windowMs = windowMs;
		this.hosts = new RecentHosts(2 * windowMs);
		this.entitledFromMs = firstStart ? startedAtMs : startedAtMs + windowMs;
	}

	/**
	 * Returns the part of this process.
	 * @param listed the hosts that the newest list names, in any state
	 * @param listAgeMs the time in milliseconds since the list was confirmed
	 * @param nowMs the time in milliseconds
	 * @return a number from 0 to 1
	 */
	public double fraction(List<HostRecord> listed, long listAgeMs, long nowMs) {
		this.hosts.observe(listed, nowMs);
		if (nowMs < this.entitledFromMs || listAgeMs > this.windowMs || listed.isEmpty()) {
			return 0;
		}
		return 1.0 / this.hosts.ids().size();
	}

}
