package io.fescuehold.core.prompt;

import java.util.HashMap;
import java.util.Map;

import io.fescuehold.core.servers.RequestDemand;
import io.fescuehold.core.servers.ServerState;

/**
 * The memory of each engine that requests in flight take: those of this daemon, where a
 * part that several of them share counts once, and those of the other daemons as they
 * report it. Cached parts of ended requests do not count, because they yield. Not
 * thread-safe.
 */
public final class MemoryInUse {

	/** Daemons report memory in units of this size, so that messages stay small. */
	public static final int UNIT_TOKENS = 1_024;

	private static final double SMOOTHING_FACTOR = 0.02;

	private final Map<String, Use> useByServer = new HashMap<>();

	/** The units of the other daemons, or null while they are not known. */
	private Map<String, Integer> otherUnits;

	private double meanRequestTokens;

	/**
	 * Counts a request that is sent to a server.
	 * @param serverId the server
	 * @param prompt the prompt
	 * @param demand what the request asks for
	 */
	public void begin(String serverId, PromptShape prompt, RequestDemand demand) {
		Use use = this.useByServer.computeIfAbsent(serverId, (id) -> new Use());
		use.writeTokens += demand.writeTokens();
		use.requests++;
		prompt.parts().forEach((part) -> use.requestsByPart.merge(part, 1, Integer::sum));
		this.meanRequestTokens += ((this.meanRequestTokens > 0) ? SMOOTHING_FACTOR : 1)
				* (demand.memoryTokens() - this.meanRequestTokens);
	}

	/**
	 * Counts a request as ended.
	 * @param serverId the server
	 * @param prompt the prompt as at the begin
	 * @param demand what the request asks for as at the begin
	 */
	public void end(String serverId, PromptShape prompt, RequestDemand demand) {
		Use use = this.useByServer.get(serverId);
		if (use == null) {
			return;
		}
		use.writeTokens -= demand.writeTokens();
		prompt.parts()
			.forEach((part) -> use.requestsByPart.computeIfPresent(part,
					(key, requests) -> (requests > 1) ? requests - 1 : null));
		if (--use.requests == 0) {
			this.useByServer.remove(serverId);
		}
	}

	/**
	 * Returns the memory that requests of this daemon take.
	 * @return the units by server, without servers that have less than half a unit
	 */
	public Map<String, Integer> ownUnits() {
		Map<String, Integer> units = new HashMap<>();
		this.useByServer.forEach((serverId, use) -> {
			int rounded = (int) Math.round(use.tokens() / (double) UNIT_TOKENS);
			if (rounded > 0) {
				units.put(serverId, rounded);
			}
		});
		return units;
	}

	/**
	 * Sets the memory that requests of the other daemons take.
	 * @param units the units by server, or null if the reporting daemon does not know
	 * them
	 */
	public void setOtherUnits(Map<String, Integer> units) {
		this.otherUnits = units;
	}

	/**
	 * Returns the memory that requests in flight take at a server. While the memory of
	 * the other daemons' requests is unknown, each of them counts like the mean of this
	 * daemon's requests.
	 * @param server the server
	 * @return the number of tokens
	 */
	public long tokens(ServerState server) {
		Use use = this.useByServer.get(server.server().id());
		long ownTokens = (use != null) ? use.tokens() : 0;
		if (this.otherUnits == null) {
			return ownTokens + Math.round((server.load() - server.ownRequests()) * this.meanRequestTokens);
		}
		return ownTokens + (long) this.otherUnits.getOrDefault(server.server().id(), 0) * UNIT_TOKENS;
	}

	/**
	 * Returns whether a server has memory for one more request, so that it need not
	 * interrupt another for it.
	 * @param server the server
	 * @param prompt the prompt
	 * @param demand what the request asks for
	 * @param capacityTokens the memory of the server in tokens, or 0 if it is unknown
	 * @return whether the request fits in beside those in flight
	 */
	public boolean hasRoom(ServerState server, PromptShape prompt, RequestDemand demand, long capacityTokens) {
		if (capacityTokens <= 0) {
			return true;
		}
		Use use = this.useByServer.get(server.server().id());
		long addedTokens = demand.writeTokens();
		for (PromptPart part : prompt.parts()) {
			addedTokens += (use != null && use.requestsByPart.containsKey(part)) ? 0 : part.tokens();
		}
		return tokens(server) + addedTokens <= capacityTokens;
	}

	private static final class Use {

		private final Map<PromptPart, Integer> requestsByPart = new HashMap<>();

		private long writeTokens;

		private int requests;

		private long tokens() {
			return this.writeTokens + this.requestsByPart.keySet().stream().mapToLong(PromptPart::tokens).sum();
		}

	}

}
