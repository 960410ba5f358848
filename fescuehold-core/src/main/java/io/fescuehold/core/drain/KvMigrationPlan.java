package io.fescuehold.core.drain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.CacheCost;
import io.fescuehold.core.placement.RendezvousHash;

/**
 * Plans to which servers the KV caches of the chats of a leaving server are moved. Long
 * chats that are likely to return come first; chats that are cheaper to prefill are left
 * out. The target is chosen by rendezvous hash weighted with the speed of the servers, as
 * in placement. Moves are started within a rate limit and one at a time per target.
 */
public final class KvMigrationPlan {

	private static final double RETURN_HALF_LIFE_MS = 300_000;

	private static final double MS_PER_S = 1_000;

	private final Deque<KvMove> waiting = new ArrayDeque<>();

	private final Map<String, Integer> activeByTarget = new HashMap<>();

	private final double tokensPerS;

	private double availableTokens;

	private long updatedAtMs;

	/**
	 * Creates a plan.
	 * @param fromServerId the server that leaves
	 * @param chats the chats in its cache
	 * @param targets the speed in tokens per second of each remaining server, by server
	 * id
	 * @param tokensPerS the rate limit of the moves in tokens per second
	 * @param nowMs the time in milliseconds
	 */
	public KvMigrationPlan(String fromServerId, Collection<ChatContext> chats, Map<String, Long> targets,
			double tokensPerS, long nowMs) {
		this.tokensPerS = tokensPerS;
		this.updatedAtMs = nowMs;
		chats.stream()
			.filter((chat) -> CacheCost.isImportCheaper(chat.tokens()))
			.sorted(Comparator.comparingDouble((ChatContext chat) -> -expectedSaving(chat, nowMs))
				.thenComparing(ChatContext::chatId))
			.forEach((chat) -> {
				String target = target(chat.chatId(), targets);
				if (target != null) {
					this.waiting.add(new KvMove(chat.chatId(), fromServerId, target, chat.tokens()));
				}
			});
	}

	private static double expectedSaving(ChatContext chat, long nowMs) {
		double ageMs = Math.max(0, nowMs - chat.usedAtMs());
		return (chat.tokens() - CacheCost.importCost(chat.tokens())) * Math.pow(2, -ageMs / RETURN_HALF_LIFE_MS);
	}

	private static String target(String chatId, Map<String, Long> targets) {
		long chatHash = RendezvousHash.hash(chatId);
		String best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (Map.Entry<String, Long> entry : targets.entrySet()) {
			double score = RendezvousHash.score(chatHash, RendezvousHash.hash(entry.getKey()), entry.getValue());
			if (score < bestScore) {
				best = entry.getKey();
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * Starts the moves that the limits allow now.
	 * @param nowMs the time in milliseconds
	 * @return the moves
	 */
	public List<KvMove> startMoves(long nowMs) {
		this.availableTokens = Math.min(this.tokensPerS,
				this.availableTokens + this.tokensPerS * Math.max(0, nowMs - this.updatedAtMs) / MS_PER_S);
		this.updatedAtMs = Math.max(this.updatedAtMs, nowMs);
		List<KvMove> started = new ArrayList<>();
		List<KvMove> deferred = new ArrayList<>();
		while (this.availableTokens > 0 && !this.waiting.isEmpty()) {
			KvMove move = this.waiting.poll();
			if (this.activeByTarget.getOrDefault(move.toServerId(), 0) > 0) {
				deferred.add(move);
				continue;
			}
			this.activeByTarget.merge(move.toServerId(), 1, Integer::sum);
			this.availableTokens -= move.tokens();
			started.add(move);
		}
		deferred.reversed().forEach(this.waiting::addFirst);
		return started;
	}

	/**
	 * Records that a move has ended, whatever its outcome.
	 * @param move the move
	 */
	public void recordEnd(KvMove move) {
		this.activeByTarget.merge(move.toServerId(), -1, Integer::sum);
	}

	/**
	 * Returns the number of moves that have not started.
	 * @return the number
	 */
	public int waiting() {
		return this.waiting.size();
	}

}
