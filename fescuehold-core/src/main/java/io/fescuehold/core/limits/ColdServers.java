package io.fescuehold.core.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.routes.ColdStart;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;

/**
 * Which servers are cold as far as this daemon knows. What is not known counts as cold: a
 * server that appears in the list without a cold time, one whose process has ended or
 * that could not be reached and responds again, and the servers of a failure domain whose
 * evacuation has just ended. Not thread-safe: confined to one thread.
 */
public final class ColdServers {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Map<String, Entry> entries = new HashMap<>();

	private final Map<String, Long> returnedAtMs = new HashMap<>();

	private boolean listKnown;

	/**
	 * Takes over a list of servers. The first one tells nothing of the time at which the
	 * servers have started, so that only the cold times in it count.
	 * @param servers the servers
	 * @param nowMs the time of receipt in milliseconds
	 */
	public void onList(List<BackendServer> servers, long nowMs) {
		Map<String, Entry> kept = new HashMap<>();
		for (BackendServer server : servers) {
			Entry entry = this.entries.get(server.id());
			if (entry == null || !entry.address.equals(server.address())) {
				entry = new Entry(server.address());
				entry.appearedAtMs = (this.listKnown && server.coldMs() == 0) ? nowMs : NEVER;
			}
			if (server.coldMs() > 0) {
				entry.listedUntilMs = Math.max(entry.listedUntilMs,
						nowMs + server.coldMs() + BackendServer.COLD_END_TOLERANCE_MS);
			}
			kept.put(server.id(), entry);
		}
		this.entries.clear();
		this.entries.putAll(kept);
		this.listKnown |= !servers.isEmpty();
	}

	/**
	 * Records that servers of a failure domain get requests again after an evacuation.
	 * They may have become cold shortly before, and the list shows it late.
	 * @param failureDomain the failure domain
	 * @param nowMs the time in milliseconds
	 */
	public void domainReturned(String failureDomain, long nowMs) {
		this.returnedAtMs.put(failureDomain, nowMs);
	}

	/**
	 * Records that the process of a server has ended. The next one may have the same id.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 */
	public void processEnded(String serverId, long nowMs) {
		Entry entry = this.entries.get(serverId);
		if (entry != null) {
			entry.ended = true;
			entry.endedAtMs = nowMs;
		}
	}

	/**
	 * Records that no connection to a server could be established. It may have been down
	 * and come back cold before the list shows it, and all daemons would try it at once.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 */
	public void unreachable(String serverId, long nowMs) {
		Entry entry = this.entries.get(serverId);
		if (entry != null) {
			entry.unreachableAtMs = nowMs;
			entry.unreachable = true;
		}
	}

	/**
	 * Records that a server responded. If its process has ended before, another one has
	 * started. If it was only out of reach, the list shows soon whether one has.
	 * @param serverId the instance id of the server
	 * @param nowMs the time in milliseconds
	 */
	public void responded(String serverId, long nowMs) {
		Entry entry = this.entries.get(serverId);
		if (entry == null) {
			return;
		}
		if (entry.ended) {
			entry.restartedAtMs = nowMs;
		}
		else if (entry.unreachable) {
			entry.reachedAtMs = nowMs;
		}
		entry.ended = false;
		entry.unreachable = false;
	}

	/**
	 * Returns whether a server may be cold.
	 * @param server the server
	 * @param coldStart how the servers of its service behave after a start
	 * @param nowMs the time in milliseconds
	 * @return whether it is cold as far as this daemon knows
	 */
	public boolean isCold(BackendServer server, ColdStart coldStart, long nowMs) {
		if (nowMs - this.returnedAtMs.getOrDefault(server.failureDomain(), NEVER) < unlistedMs(coldStart)) {
			return true;
		}
		Entry entry = this.entries.get(server.id());
		return entry != null && (entry.isDown(coldStart) || nowMs < entry.listedUntilMs
				|| nowMs - entry.appearedAtMs < coldStart.durationMs()
				|| nowMs - entry.restartedAtMs < unlistedMs(coldStart)
				|| nowMs - entry.unreachableAtMs < unlistedMs(coldStart)
				|| nowMs - entry.reachedAtMs < ServerState.LIST_DELAY_MS);
	}

	// Until then the list shows a start that preceded the event.
	private static long unlistedMs(ColdStart coldStart) {
		return coldStart.durationMs() + ServerState.LIST_DELAY_MS;
	}

	private static final class Entry {

		private final String address;

		private long listedUntilMs = NEVER;

		private long endedAtMs = NEVER;

		private long appearedAtMs = NEVER;

		private long restartedAtMs = NEVER;

		private long unreachableAtMs = NEVER;

		private long reachedAtMs = NEVER;

		private boolean ended;

		private boolean unreachable;

		Entry(String address) {
			this.address = address;
		}

		// A daemon without a share of the server never sees a response of the next
		// process, but the list shows the cold time that begins with it.
		private boolean isDown(ColdStart coldStart) {
			long listedSinceMs = this.listedUntilMs - BackendServer.COLD_END_TOLERANCE_MS - coldStart.durationMs();
			return this.ended && listedSinceMs <= this.endedAtMs;
		}

	}

}
