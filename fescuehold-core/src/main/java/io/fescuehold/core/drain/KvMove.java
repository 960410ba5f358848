package io.fescuehold.core.drain;

/**
 * The move of a chat's KV cache.
 *
 * @param chatId the chat
 * @param fromServerId the server that leaves
 * @param toServerId the server that imports the cache
 * @param tokens the tokens to move
 */
public record KvMove(String chatId, String fromServerId, String toServerId, long tokens) {

}
