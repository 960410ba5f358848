package io.fescuehold.config;

/**
 * Assigns chats to the share by their id, with precedence over the share of their team.
 *
 * @param idPrefix the prefix of the chat ids
 */
public record ChatRule(String idPrefix) {

	public ChatRule {
		Checks.name("idPrefix", idPrefix);
	}

}
