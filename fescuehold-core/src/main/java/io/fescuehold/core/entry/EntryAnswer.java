package io.fescuehold.core.entry;

import java.util.List;

/**
 * The addresses that a caller uses for a chat.
 *
 * @param addresses the addresses, best first; empty if no host is live
 * @param validForMs how long the caller may use them, in milliseconds
 */
public record EntryAnswer(List<String> addresses, long validForMs) {

	public EntryAnswer {
		addresses = List.copyOf(addresses);
	}

}
