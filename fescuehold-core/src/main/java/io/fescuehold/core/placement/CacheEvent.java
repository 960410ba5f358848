package io.fescuehold.core.placement;

/**
 * A change of a model server's prompt cache.
 *
 * @param serverId the server
 * @param chatId the chat whose prefix was stored or evicted
 * @param tokens the tokens of the chat now in the cache; 0 after an eviction
 */
public record CacheEvent(String serverId, String chatId, long tokens) {

}
