package io.fescuehold.standin.modelserver;

/**
 * The load of a model server at a time.
 *
 * @param outstandingTokens the tokens to prefill and to generate
 * @param runningRequests the requests in the batch
 * @param waitingRequests the requests in the queue
 * @param cacheUsedTokens the tokens in the prefix cache
 * @param reportedAtMs the time in milliseconds since the epoch
 */
public record LoadReport(long outstandingTokens, int runningRequests, int waitingRequests, int cacheUsedTokens,
		long reportedAtMs) {
}
