package io.fescuehold.core.drain;

/**
 * The move of the KV cache of a chat between servers.
 *
 * @param chatId the chat
 * @param fromServerId the server that leaves
 * @param toServerId the server that imports the cache
 * @param tokens the number of tokens in the cache
 */
public record KvMove(String chatId, String fromServerId, String toServerId, long tokens) {

}
