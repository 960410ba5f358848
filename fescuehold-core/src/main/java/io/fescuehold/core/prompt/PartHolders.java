package io.fescuehold.core.prompt;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which servers were sent which prompt parts by this daemon, and when. Bounded; the parts
 * that were not used for longest are forgotten.
 */
public final class PartHolders {

	private final int maxParts;

	private final long lifeMs;

	private final LinkedHashMap<String, Map<String, Long>> usesByPart;

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
		for (PromptPart part : prompt.parts()) {
			this.usesByPart.computeIfAbsent(part.id(), (id) -> new HashMap<>(4)).put(serverId, nowMs);
		}
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
