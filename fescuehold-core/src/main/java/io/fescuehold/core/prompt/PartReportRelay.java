package io.fescuehold.core.prompt;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Relays which servers hold which prompt parts: the leader collects reports from each
 * daemon and delivers them once to every other one. Reports that a daemon does not fetch
 * in time are dropped; it then copies or prefills parts that it could have found.
 */
public final class PartReportRelay {

	private final int maxParts;

	private final long daemonTimeoutMs;

	private final Map<String, Mailbox> mailboxes = new HashMap<>();

	/**
	 * Creates a relay without reports.
	 * @param maxParts the maximum number of parts queued for one daemon
	 * @param daemonTimeoutMs the time in milliseconds after which a daemon that has not
	 * reported is removed
	 */
	public PartReportRelay(int maxParts, long daemonTimeoutMs) {
		this.maxParts = maxParts;
		this.daemonTimeoutMs = daemonTimeoutMs;
	}

	/**
	 * Adds the report of a daemon.
	 * @param hostId the daemon
	 * @param partsByServer the ids of the parts by server
	 * @param nowMs the time in milliseconds
	 */
	public void put(String hostId, Map<String, Set<String>> partsByServer, long nowMs) {
		this.mailboxes.values().removeIf((mailbox) -> nowMs - mailbox.reportedMs >= this.daemonTimeoutMs);
		this.mailboxes.computeIfAbsent(hostId, (id) -> new Mailbox()).reportedMs = nowMs;
		this.mailboxes.forEach((other, mailbox) -> {
			if (!other.equals(hostId)) {
				partsByServer.forEach((server, parts) -> mailbox.add(server, parts, this.maxParts));
			}
		});
	}

	/**
	 * Takes the reports queued for a daemon.
	 * @param hostId the daemon
	 * @return the ids of the parts by server that the other daemons reported since the
	 * last call
	 */
	public Map<String, Set<String>> take(String hostId) {
		Mailbox mailbox = this.mailboxes.get(hostId);
		return (mailbox != null) ? mailbox.take() : Map.of();
	}

	private static final class Mailbox {

		private Map<String, Set<String>> partsByServer = new HashMap<>();

		private int size;

		private long reportedMs;

		private void add(String server, Set<String> parts, int maxParts) {
			Set<String> known = this.partsByServer.computeIfAbsent(server, (id) -> new HashSet<>());
			for (String part : parts) {
				if (this.size < maxParts && known.add(part)) {
					this.size++;
				}
			}
		}

		private Map<String, Set<String>> take() {
			Map<String, Set<String>> taken = this.partsByServer;
			this.partsByServer = new HashMap<>();
			this.size = 0;
			return taken;
		}

	}

}
