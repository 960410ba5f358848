package io.fescuehold.core.prompt;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Passes on which servers read which prompt parts: the leader collects it from each
 * daemon and tells every other one once. What a daemon does not fetch in time is
 * forgotten; it then copies or reads a part that it could have found.
 */
public final class PartNews {

	private final int maxParts;

	private final long silenceMs;

	private final Map<String, Mailbox> mailboxes = new HashMap<>();

	/**
	 * Creates an empty collection.
	 * @param maxParts the parts that wait for one daemon at most
	 * @param silenceMs the time in milliseconds after which a daemon that has not asked
	 * is forgotten
	 */
	public PartNews(int maxParts, long silenceMs) {
		this.maxParts = maxParts;
		this.silenceMs = silenceMs;
	}

	/**
	 * Takes over what a daemon saw.
	 * @param hostId the daemon
	 * @param partsByServer the ids of the parts by server
	 * @param nowMs the time in milliseconds
	 */
	public void put(String hostId, Map<String, Set<String>> partsByServer, long nowMs) {
		this.mailboxes.values().removeIf((mailbox) -> nowMs - mailbox.askedMs >= this.silenceMs);
		this.mailboxes.computeIfAbsent(hostId, (id) -> new Mailbox()).askedMs = nowMs;
		this.mailboxes.forEach((other, mailbox) -> {
			if (!other.equals(hostId)) {
				partsByServer.forEach((server, parts) -> mailbox.add(server, parts, this.maxParts));
			}
		});
	}

	/**
	 * Takes what a daemon is to be told.
	 * @param hostId the daemon
	 * @return the ids of the parts by server, as the other daemons saw them since this
	 * was last called
	 */
	public Map<String, Set<String>> take(String hostId) {
		Mailbox mailbox = this.mailboxes.get(hostId);
		return (mailbox != null) ? mailbox.take() : Map.of();
	}

	private static final class Mailbox {

		private Map<String, Set<String>> partsByServer = new HashMap<>();

		private int size;

		private long askedMs;

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
