package io.fescuehold.core.servers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The server list that was last passed on to the daemons, and whether a newer one differs
 * so much that they need it. The remaining cold times count down, so that their ends are
 * compared instead. Not thread-safe: confined to one thread.
 */
public final class AnnouncedServers {

	private List<BackendServer> servers = List.of();

	private Map<String, Long> coldUntilMs = Map.of();

	/**
	 * Records that a list is passed on.
	 * @param list the servers
	 * @param nowMs the time in milliseconds
	 */
	public void announce(List<BackendServer> list, long nowMs) {
		Map<String, Long> ends = new HashMap<>();
		for (BackendServer server : list) {
			if (server.coldMs() > 0) {
				ends.put(server.id(), nowMs + server.coldMs());
			}
		}
		this.coldUntilMs = ends;
		this.servers = list;
	}

	/**
	 * Returns whether a list has to be passed on.
	 * @param read the servers
	 * @param nowMs the time at which they were read, in milliseconds
	 * @return whether servers differ apart from their cold times, or the end of a cold
	 * time has moved significantly
	 */
	public boolean differFrom(List<BackendServer> read, long nowMs) {
		if (read.size() != this.servers.size()) {
			return true;
		}
		for (int index = 0; index < read.size(); index++) {
			BackendServer server = read.get(index);
			if (!server.withColdMs(0).equals(this.servers.get(index).withColdMs(0)) || hasMovedEnd(server, nowMs)) {
				return true;
			}
		}
		return false;
	}

	private boolean hasMovedEnd(BackendServer server, long nowMs) {
		long announcedMs = Math.max(nowMs, this.coldUntilMs.getOrDefault(server.id(), nowMs));
		// The longest time also stands for unreadable ones, which do not count down.
		long toleranceMs = (server.coldMs() == BackendServer.MAX_COLD_MS) ? BackendServer.MAX_COLD_MS / 2
				: BackendServer.COLD_END_TOLERANCE_MS;
		return Math.abs(nowMs + server.coldMs() - announcedMs) > toleranceMs;
	}

}
