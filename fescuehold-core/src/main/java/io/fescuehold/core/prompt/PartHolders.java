package io.fescuehold.core.prompt;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Which servers were sent which prompt parts, and when: by this daemon, or by others as
 * far as they told. Bounded; the parts that were not used for longest are forgotten.
 */
public final class PartHolders {

	private final int maxParts;

	private final long lifeMs;

	private final LinkedHashMap<String, Map<String, Long>> usesByPart;

	private Map<String, Set<String>> untold = new HashMap<>();

	private int untoldParts;

	/**
	 * Creates an empty memory.
	 * @param maxParts the parts that are remembered at most
	 * @param lifeMs the time in milliseconds for which an unused part is expected to stay
	 * in a server's memory
	 */
	public PartHolders(int maxParts, long lifeMs) {
		this.maxParts = maxParts;
		this.lifeMs = lifeMs;
		this.usesByPart = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
				return size() > PartHolders.this.maxParts;
			}

		};
	}

	/**
	 * Records that a server has read a prompt.
	 * @param prompt the prompt
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 */
	public void read(PromptShape prompt, String serverId, long nowMs) {
		for (PromptPart part : prompt.sharedParts()) {
			if (!holds(part, serverId, nowMs) && this.untoldParts < this.maxParts
					&& this.untold.computeIfAbsent(serverId, (id) -> new HashSet<>()).add(part.id())) {
				this.untoldParts++;
			}
		}
		prompt.parts().forEach((part) -> put(part.id(), serverId, nowMs));
	}

	private void put(String partId, String serverId, long nowMs) {
		this.usesByPart.computeIfAbsent(partId, (id) -> new HashMap<>(4)).put(serverId, nowMs);
	}

	/**
	 * Takes what the other daemons have not been told of: the parts that a server was
	 * sent for the first time in a while.
	 * @return the ids of the parts by server
	 */
	public Map<String, Set<String>> takeUntold() {
		Map<String, Set<String>> taken = this.untold;
		this.untold = new HashMap<>();
		this.untoldParts = 0;
		return taken;
	}

	/**
	 * Records what other daemons sent.
	 * @param partsByServer the ids of the parts by server
	 * @param nowMs the time in milliseconds
	 */
	public void readByOthers(Map<String, Set<String>> partsByServer, long nowMs) {
		partsByServer.forEach((serverId, parts) -> parts.forEach((partId) -> put(partId, serverId, nowMs)));
	}

	/**
	 * Forgets what a server held, which is gone with its process.
	 * @param serverId the server
	 */
	public void forget(String serverId) {
		this.usesByPart.values().forEach((uses) -> uses.remove(serverId));
	}

	/**
	 * Returns whether a server probably holds a part.
	 * @param part the part
	 * @param serverId the server
	 * @param nowMs the time in milliseconds
	 * @return whether it was sent the part recently
	 */
	public boolean holds(PromptPart part, String serverId, long nowMs) {
		Map<String, Long> uses = this.usesByPart.get(part.id());
		Long used = (uses != null) ? uses.get(serverId) : null;
		return used != null && nowMs - used < this.lifeMs;
	}

	/**
	 * Returns the servers that probably hold a part.
	 * @param part the part
	 * @return the time of the last use in milliseconds by server
	 */
	public Map<String, Long> holders(PromptPart part) {
		return this.usesByPart.getOrDefault(part.id(), Map.of());
	}

	/**
	 * Returns how many parts are remembered.
	 * @return the number
	 */
	public int size() {
		return this.usesByPart.size();
	}

}
