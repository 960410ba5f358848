package io.fescuehold.core.reach;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The servers to which links have failed recently. Failures at a single server do not
 * suggest that this host is cut off. Not thread-safe: confined to one thread.
 */
public final class LinkFailures {

	/**
	 * The time for which a failure counts. It covers a time-out of a connection at
	 * another server after the first one.
	 */
	static final long WINDOW_MS = 1_500;

	private static final int SUSPICIOUS_SERVERS = 2;

	private final Map<String, Map<String, Long>> failedAtMsByService = new HashMap<>();

	/**
	 * Records a failure.
	 * @param service the service
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 */
	public void record(String service, String serverId, long nowMs) {
		recent(service, nowMs);
		this.failedAtMsByService.computeIfAbsent(service, (name) -> new HashMap<>()).put(serverId, nowMs);
	}

	/**
	 * Returns the servers with recent failures.
	 * @param service the service
	 * @param nowMs the time in milliseconds
	 * @return the ids of the servers
	 */
	public Set<String> recent(String service, long nowMs) {
		Map<String, Long> failedAtMs = this.failedAtMsByService.get(service);
		if (failedAtMs == null) {
			return Set.of();
		}
		failedAtMs.values().removeIf((failedMs) -> nowMs - failedMs >= WINDOW_MS);
		if (failedAtMs.isEmpty()) {
			this.failedAtMsByService.remove(service);
		}
		return Set.copyOf(failedAtMs.keySet());
	}

	/**
	 * Returns whether this host may be cut off from the servers of a service.
	 * @param service the service
	 * @param servers the number of its servers
	 * @param nowMs the time in milliseconds
	 * @return whether links to two servers have failed, or to the only one
	 */
	public boolean isSuspicious(String service, int servers, long nowMs) {
		return recent(service, nowMs).size() >= Math.clamp(servers, 1, SUSPICIOUS_SERVERS);
	}

}
