package io.fescuehold.core.prompt;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Records which servers were sent which prompt parts and when, by this daemon and, as far
 * as reported, by the others. The number of parts is bounded; the least recently used
 * ones are evicted.
 */
public final class PartHolders {

	private final int maxParts;

	private final long retentionMs;

	private final LinkedHashMap<String, Map<String, Long>> lastUseMsByPart;

	private Map<String, Set<String>> unreported = new HashMap<>();

	private int unreportedParts;

	/**
	 * Creates an empty record.
	 * @param maxParts the maximum number of parts
	 * @param retentionMs the time in milliseconds for which an unused part is expected to
	 * stay in a server's cache
	 */
	public PartHolders(int maxParts, long retentionMs) {
		this.maxParts = maxParts;
		this.retentionMs = retentionMs;
		this.lastUseMsByPart = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
				return size() > PartHolders.this.maxParts;
			}

		};
	}

	/**
	 * Records that a server has prefilled a prompt.
	 * @param prompt the prompt
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 */
	public void recordPrefill(PromptShape prompt, String serverId, long nowMs) {
		for (PromptPart part : prompt.sharedParts()) {
			if (!holds(part, serverId, nowMs) && this.unreportedParts < this.maxParts
					&& this.unreported.computeIfAbsent(serverId, (id) -> new HashSet<>()).add(part.id())) {
				this.unreportedParts++;
			}
		}
		prompt.parts().forEach((part) -> recordUse(part.id(), serverId, nowMs));
	}

	private void recordUse(String partId, String serverId, long nowMs) {
		this.lastUseMsByPart.computeIfAbsent(partId, (id) -> new HashMap<>(4)).put(serverId, nowMs);
	}

	/**
	 * Takes the parts that have not been reported to the other daemons: those sent to a
	 * server that did not already hold them.
	 * @return the ids of the parts by server
	 */
	public Map<String, Set<String>> takeUnreportedParts() {
		Map<String, Set<String>> taken = this.unreported;
		this.unreported = new HashMap<>();
		this.unreportedParts = 0;
		return taken;
	}

	/**
	 * Records the parts that other daemons sent.
	 * @param partsByServer the ids of the parts by server
	 * @param nowMs the time in milliseconds
	 */
	public void recordReportedParts(Map<String, Set<String>> partsByServer, long nowMs) {
		partsByServer.forEach((serverId, parts) -> parts.forEach((partId) -> recordUse(partId, serverId, nowMs)));
	}

	/**
	 * Removes all parts of a server whose process has ended.
	 * @param serverId the server
	 */
	public void forget(String serverId) {
		this.lastUseMsByPart.values().forEach((lastUseMsByServer) -> lastUseMsByServer.remove(serverId));
	}

	/**
	 * Returns whether a server probably holds a part.
	 * @param part the part
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 * @return whether it was sent the part recently
	 */
	public boolean holds(PromptPart part, String serverId, long nowMs) {
		Map<String, Long> lastUseMsByServer = this.lastUseMsByPart.get(part.id());
		Long lastUseMs = (lastUseMsByServer != null) ? lastUseMsByServer.get(serverId) : null;
		return lastUseMs != null && nowMs - lastUseMs < this.retentionMs;
	}

	/**
	 * Returns the servers that probably hold a part.
	 * @param part the part
	 * @return the time of the last use in milliseconds by server
	 */
	public Map<String, Long> holders(PromptPart part) {
		return this.lastUseMsByPart.getOrDefault(part.id(), Map.of());
	}

	/**
	 * Returns the number of parts recorded.
	 * @return the number
	 */
	public int size() {
		return this.lastUseMsByPart.size();
	}

}
