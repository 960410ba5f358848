package io.fescuehold.core.placement;

import java.util.Set;

/**
 * A request that needs a model server.
 *
 * @param chatId the chat, or a random id for a request outside any chat
 * @param model the model
 * @param promptTokens the tokens of the whole prompt, history included
 * @param maxOutputTokens the tokens that may be generated
 * @param hint where the chat was last served, or null
 * @param excludedServerIds servers that have failed this request already
 */
public record PlacementRequest(String chatId, String model, long promptTokens, long maxOutputTokens, ChatHint hint,
		Set<String> excludedServerIds) {

	public PlacementRequest {
		excludedServerIds = Set.copyOf(excludedServerIds);
	}

}
