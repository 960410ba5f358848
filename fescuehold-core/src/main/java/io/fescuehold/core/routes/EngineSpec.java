package io.fescuehold.core.routes;

/**
 * A model engine.
 *
 * @param slots the requests that run at once
 * @param cacheTokens the tokens that its memory holds, of running requests and of cached
 * prompts
 * @param tokenBytes the memory of one token in bytes
 */
public record EngineSpec(int slots, long cacheTokens, long tokenBytes) {

}
