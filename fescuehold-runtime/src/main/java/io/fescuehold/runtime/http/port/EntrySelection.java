package io.fescuehold.runtime.http.port;

import java.util.List;

/**
 * Selects the router addresses that a caller uses for a chat.
 */
@FunctionalInterface
public interface EntrySelection {

	/**
	 * Selects addresses.
	 * @param chatId the chat id, or null if the request names no chat
	 * @return the addresses and their validity
	 */
	EntryAnswer select(String chatId);

	/**
	 * The response to an entry request.
	 *
	 * @param addresses the addresses as {@code ip:port} in the order of preference
	 * @param validForMs how long the response may be cached, in milliseconds
	 */
	record EntryAnswer(List<String> addresses, long validForMs) {

		public EntryAnswer {
			addresses = List.copyOf(addresses);
		}

	}

}
