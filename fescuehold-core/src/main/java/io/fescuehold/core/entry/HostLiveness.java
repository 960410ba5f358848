package io.fescuehold.core.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides which hosts are live, draining or dead from the answers to pings and from the
 * platform's list of hosts. A host that the list marks as leaving is draining. Because
 * the list lags, it never makes a host live that does not answer.
 */
public final class HostLiveness {

	/** The time in milliseconds without an answer after which a host is dead. */
	public static final long DEAD_AFTER_MS = 3_000;

	private final String selfHostId;

	private final long startedAtMs;

	private final Map<String, LastAnswer> lastAnswers = new HashMap<>();

	private Set<String> leaving = Set.of();

	private boolean draining;

	/**
	 * Creates a tracker.
	 * @param selfHostId the id of this host
	 * @param nowMs the time in milliseconds since the epoch
	 */
	public HostLiveness(String selfHostId, long nowMs) {
		this.selfHostId = selfHostId;
		this.startedAtMs = nowMs;
	}

	/**
	 * Records that a host has answered.
	 * @param hostId the host
	 * @param isDraining whether the host reports that it is draining
	 * @param nowMs the time in milliseconds since the epoch
	 */
	public void answered(String hostId, boolean isDraining, long nowMs) {
		this.lastAnswers.put(hostId, new LastAnswer(nowMs, isDraining));
	}

	/**
	 * Replaces the hosts that the platform's list marks as leaving.
	 * @param hostIds the host ids
	 */
	public void listLeaving(Set<String> hostIds) {
		this.leaving = new HashSet<>(hostIds);
	}

	/**
	 * Marks this host as draining.
	 */
	public void drainSelf() {
		this.draining = true;
	}

	/**
	 * Tells whether this host is draining.
	 * @return whether it is
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Returns the state of a host.
	 * @param hostId the host
	 * @param nowMs the time in milliseconds since the epoch
	 * @return the state; hosts that have not had time to answer count as live
	 */
	public EntryHost.State state(String hostId, long nowMs) {
		if (this.selfHostId.equals(hostId)) {
			return (this.draining || this.leaving.contains(hostId)) ? EntryHost.State.DRAINING : EntryHost.State.LIVE;
		}
		LastAnswer last = this.lastAnswers.get(hostId);
		long lastAnswerAtMs = (last != null) ? last.atMs : this.startedAtMs;
		if (nowMs - lastAnswerAtMs > DEAD_AFTER_MS) {
			return EntryHost.State.DEAD;
		}
		boolean isDraining = (last != null && last.draining) || this.leaving.contains(hostId);
		return isDraining ? EntryHost.State.DRAINING : EntryHost.State.LIVE;
	}

	private record LastAnswer(long atMs, boolean draining) {

	}

}
