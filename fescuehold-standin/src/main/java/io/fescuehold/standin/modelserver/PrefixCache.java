package io.fescuehold.standin.modelserver;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * Caches the tokens of chats for prefix reuse, up to a total number of tokens. The least
 * recently used chat is evicted first.
 */
final class PrefixCache {

	private final LinkedHashMap<String, int[]> chats = new LinkedHashMap<>(16, 0.75f, true);

	private final int capacityTokens;

	private final ObjIntConsumer<String> onChange;

	private int usedTokens;

	/**
	 * Creates a cache.
	 * @param capacityTokens the capacity in tokens
	 * @param onChange receives the chat and the number of its cached tokens, 0 for an
	 * eviction
	 */
	PrefixCache(int capacityTokens, ObjIntConsumer<String> onChange) {
		this.capacityTokens = capacityTokens;
		this.onChange = onChange;
	}

	/**
	 * Returns how many leading tokens of a prompt are cached.
	 * @param chatId the chat, or null
	 * @param prompt the prompt's tokens
	 * @return the length of the common prefix
	 */
	synchronized int match(String chatId, int[] prompt) {
		int[] cached = (chatId != null) ? this.chats.get(chatId) : null;
		if (cached == null) {
			return 0;
		}
		int mismatch = Arrays.mismatch(cached, prompt);
		return (mismatch < 0) ? prompt.length : mismatch;
	}

	/**
	 * Caches the tokens of a chat, truncated to the capacity of the cache.
	 * @param chatId the chat, or null to cache nothing
	 * @param tokens the tokens
	 */
	synchronized void put(String chatId, int[] tokens) {
		if (chatId == null || this.capacityTokens == 0) {
			return;
		}
		int[] kept = (tokens.length > this.capacityTokens) ? Arrays.copyOf(tokens, this.capacityTokens) : tokens;
		int[] old = this.chats.put(chatId, kept);
		this.usedTokens += kept.length - ((old != null) ? old.length : 0);
		while (this.usedTokens > this.capacityTokens) {
			evictEldest();
		}
		this.onChange.accept(chatId, kept.length);
	}

	private void evictEldest() {
		Map.Entry<String, int[]> eldest = this.chats.entrySet().iterator().next();
		this.chats.remove(eldest.getKey());
		this.usedTokens -= eldest.getValue().length;
		this.onChange.accept(eldest.getKey(), 0);
	}

	/**
	 * Returns the cached tokens of a chat, which counts as a use of the chat.
	 * @param chatId the chat
	 * @return the tokens, or null
	 */
	synchronized int[] export(String chatId) {
		return this.chats.get(chatId);
	}

	/**
	 * Returns the number of tokens cached for all chats.
	 * @return the number of tokens
	 */
	synchronized int usedTokens() {
		return this.usedTokens;
	}

}
