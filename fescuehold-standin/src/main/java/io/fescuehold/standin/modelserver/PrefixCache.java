package io.fescuehold.standin.modelserver;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;

/**
 * The prompt prefixes of chats in a limited number of tokens. The chat that was used
 * least recently is evicted first.
 */
final class PrefixCache {

	private final LinkedHashMap<String, int[]> chats = new LinkedHashMap<>(16, 0.75f, true);

	private final int limitTokens;

	private final ObjIntConsumer<String> onChange;

	private int usedTokens;

	/**
	 * Creates a cache.
	 * @param limitTokens the tokens kept at most
	 * @param onChange receives the chat and its cached tokens, 0 for an eviction
	 */
	PrefixCache(int limitTokens, ObjIntConsumer<String> onChange) {
		this.limitTokens = limitTokens;
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
	 * Caches the tokens of a chat. Tokens beyond the limit are left out at the end.
	 * @param chatId the chat, or null to cache nothing
	 * @param tokens the tokens
	 */
	synchronized void put(String chatId, int[] tokens) {
		if (chatId == null || this.limitTokens == 0) {
			return;
		}
		int[] kept = (tokens.length > this.limitTokens) ? Arrays.copyOf(tokens, this.limitTokens) : tokens;
		int[] old = this.chats.put(chatId, kept);
		this.usedTokens += kept.length - ((old != null) ? old.length : 0);
		while (this.usedTokens > this.limitTokens) {
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
	 * Returns the cached tokens of a chat without marking it as used.
	 * @param chatId the chat
	 * @return the tokens, or null
	 */
	synchronized int[] export(String chatId) {
		return this.chats.get(chatId);
	}

	/**
	 * Returns the tokens cached for all chats.
	 * @return the number of tokens
	 */
	synchronized int usedTokens() {
		return this.usedTokens;
	}

}
