package io.fescuehold.config;

/**
 * Assigns chats to the share by their id, ahead of the share of their team.
 *
 * @param idPrefix the beginning of the chat ids
 */
public record ChatRule(String idPrefix) {

	public ChatRule {
		Checks.name("idPrefix", idPrefix);
	}

}
