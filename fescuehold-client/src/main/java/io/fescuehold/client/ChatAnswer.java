package io.fescuehold.client;

/**
 * The complete answer of a chat.
 *
 * @param text the text
 * @param tokens the number of tokens generated
 * @param finishReason why the answer ended: stop or length
 * @param promptTokens the number of prompt tokens, of the last part if the answer was
 * continued on another server
 * @param cachedTokens the number of prompt tokens found in a cache, of the same part
 * @param recoveries how often the answer was resumed, continued or requested again
 */
public record ChatAnswer(String text, int tokens, String finishReason, int promptTokens, int cachedTokens,
		int recoveries) {
}
