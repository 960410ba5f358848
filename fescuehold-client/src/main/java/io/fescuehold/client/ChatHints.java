package io.fescuehold.client;

import java.util.Map;

/**
 * The last hint of each chat, which any router uses to find the server that holds the
 * chat's cached context. The least recently used chats are evicted.
 */
final class ChatHints {

	private static final int MAX_CHATS = 10_000;

	private final Map<String, String> hints = new LruMap<>(MAX_CHATS);

	synchronized String get(String chatId) {
		return this.hints.get(chatId);
	}

	synchronized void put(String chatId, String hint) {
		if (hint != null) {
			this.hints.put(chatId, hint);
		}
	}

}
