package io.fescuehold.runtime.gateway;

/**
 * Decides whether a request may be sent to another server. Not thread-safe: confined to
 * one thread.
 */
final class AttemptRetries {

	private final Dispatcher dispatcher;

	private final GatewayRequest request;

	private final AttemptTally tally;

	private final StreamBinding binding;

	private boolean reserved;

	AttemptRetries(Dispatcher dispatcher, GatewayRequest request, AttemptTally tally, StreamBinding binding) {
		this.dispatcher = dispatcher;
		this.request = request;
		this.tally = tally;
		this.binding = binding;
	}

	/**
	 * Returns whether the request may be retried on another server.
	 * @return whether the request is repeatable and has attempts left
	 */
	boolean isLeft() {
		return this.request.route().isRepeatable() && this.tally.attempts() < this.request.route().maxAttempts();
	}

	/**
	 * Reserves a retry from the budget so that a slow server can be replaced. Without an
	 * alternative server and a retry the current attempt should continue, because only
	 * the slow server can still answer the caller.
	 * @param target the target of the current attempt
	 * @return whether the attempt may be cancelled; the failure that this causes consumes
	 * the reserved retry
	 */
	boolean reserve(Dispatcher.Target target) {
		this.reserved = isLeft() && this.dispatcher.relays().mayGiveUp(this.request, target)
				&& this.dispatcher.hasAlternative(this.request, this.tally.tried(), this.binding.current())
				&& this.dispatcher.tryAcquireRetry(this.request, this.tally.attempts());
		return this.reserved;
	}

	/**
	 * Acquires a retry after an attempt that failed without a usable response.
	 * @return whether the request may be retried, with the reserved retry if there is one
	 */
	boolean tryAcquireAfterFailure() {
		boolean allowed = this.reserved || tryAcquire();
		this.reserved = false;
		return allowed;
	}

	/**
	 * Acquires a retry after a response. A host that passes the request on has retried
	 * already.
	 * @param target the target that responded
	 * @return whether the request may be retried
	 */
	boolean tryAcquireAfterResponse(Dispatcher.Target target) {
		return !target.relay() && tryAcquire();
	}

	private boolean tryAcquire() {
		return this.request.route().isRepeatable()
				&& this.dispatcher.hasCandidate(this.request, this.tally.tried(), this.binding.current())
				&& this.dispatcher.tryAcquireRetry(this.request, this.tally.attempts());
	}

}
