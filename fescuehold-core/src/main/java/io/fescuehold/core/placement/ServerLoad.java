package io.fescuehold.core.placement;

/**
 * A load report of a model server.
 *
 * @param serverId the server
 * @param outstandingTokens the tokens that the server has yet to prefill and generate
 * @param runningRequests the requests that the server is batching
 * @param reportedAtMs the time of the report in milliseconds since the epoch
 */
public record ServerLoad(String serverId, long outstandingTokens, int runningRequests, long reportedAtMs) {

}
