package io.fescuehold.core.routes;

/**
 * The capacity of a model engine.
 *
 * @param slots the number of requests that run concurrently
 * @param cacheTokens the number of tokens that its memory holds, for running requests and
 * cached prompts
 * @param tokenBytes the memory that one token takes, in bytes
 */
public record EngineSpec(int slots, long cacheTokens, long tokenBytes) {

}
