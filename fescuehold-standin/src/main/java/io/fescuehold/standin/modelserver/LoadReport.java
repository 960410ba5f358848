package io.fescuehold.standin.modelserver;

/**
 * The load of a model server at a point in time.
 *
 * @param outstandingTokens the number of tokens that remain to be prefilled and generated
 * @param runningRequests the number of requests in the batch
 * @param waitingRequests the number of requests in the queue
 * @param cacheUsedTokens the number of tokens in the prefix cache
 * @param reportedAtMs the time in milliseconds since the epoch
 */
public record LoadReport(long outstandingTokens, int runningRequests, int waitingRequests, int cacheUsedTokens,
		long reportedAtMs) {
}
