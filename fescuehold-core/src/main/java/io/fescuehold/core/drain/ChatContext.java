package io.fescuehold.core.drain;

/**
 * The context of a chat in the KV cache of a server.
 *
 * @param chatId the chat
 * @param tokens the number of tokens in the cache
 * @param usedAtMs when the chat was last served, in milliseconds
 */
public record ChatContext(String chatId, long tokens, long usedAtMs) {

}
