package io.fescuehold.core.limits;

/**
 * The outcome of offering a request to a queue.
 *
 * @param <T> the type of the entries
 */
public sealed interface QueueOffer<T> {

	/**
	 * The request waits in the queue.
	 *
	 * @param <T> the type of the entries
	 */
	record Queued<T>() implements QueueOffer<T> {
	}

	/**
	 * The request waits in the queue and replaced a request of lower priority.
	 *
	 * @param displaced the entry that was removed; its caller must be answered at once
	 * @param retryAfterMs the retry time in milliseconds for the displaced entry
	 * @param <T> the type of the entries
	 */
	record Displaced<T>(T displaced, long retryAfterMs) implements QueueOffer<T> {
	}

	/**
	 * The queue is full.
	 *
	 * @param retryAfterMs the retry time in milliseconds
	 * @param <T> the type of the entries
	 */
	record Refused<T>(long retryAfterMs) implements QueueOffer<T> {
	}

}
