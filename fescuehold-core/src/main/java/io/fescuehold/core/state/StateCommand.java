package io.fescuehold.core.state;

/**
 * A command of the replicated state machine. Commands carry the proposer's time, so that
 * applying them is the same on every replica.
 */
public sealed interface StateCommand {

	/**
	 * Submits a configuration. Answered by a {@link StateOutcome.Submitted},
	 * {@link StateOutcome.SubmissionConflict} or {@link StateOutcome.SubmissionRefused}.
	 *
	 * @param configJson the canonical JSON of the configuration
	 * @param operator the name of the operator, for the conflict message
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record Submit(byte[] configJson, String operator, long nowMs) implements StateCommand {
	}

	/**
	 * Records a non-idempotent call before its dispatch. Answered by a
	 * {@link CallOutcome}.
	 *
	 * @param key the key of the call
	 * @param bodyDigest the SHA-256 over method, path and body in hexadecimal
	 * @param service the service that is called
	 * @param routerId the host id of the dispatching router
	 * @param deadlineMs the wall-clock time in milliseconds since the epoch after which
	 * the call counts as unknown unless it has completed
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record BeginCall(CallKey key, String bodyDigest, String service, String routerId, long deadlineMs,
			long nowMs) implements StateCommand {
	}

	/**
	 * Records the answer of a call.
	 *
	 * @param key the key of the call
	 * @param fencingNumber the number that the call was granted
	 * @param answer the answer
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record CompleteCall(CallKey key, long fencingNumber, StoredAnswer answer, long nowMs) implements StateCommand {
	}

	/**
	 * Records the proof that a call was not run, so that the key may be granted again.
	 *
	 * @param key the key of the call
	 * @param fencingNumber the number that the call was granted
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record MarkNotRun(CallKey key, long fencingNumber, long nowMs) implements StateCommand {
	}

	/**
	 * Records that the outcome of a call is unknown. It is never run again.
	 *
	 * @param key the key of the call
	 * @param fencingNumber the number that the call was granted
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record MarkUnknown(CallKey key, long fencingNumber, long nowMs) implements StateCommand {
	}

	/**
	 * Acquires or extends the lease that allows a router to send orders to a model
	 * server. Answered by a {@link StateOutcome.LeaseGranted} or
	 * {@link StateOutcome.LeaseHeld}.
	 *
	 * @param serverId the model server
	 * @param holder the host id of the router
	 * @param checksFencing whether the server refuses old fencing numbers
	 * @param leaseMs the length of the lease in milliseconds
	 * @param nowMs the leader's wall-clock time in milliseconds since the epoch
	 */
	record AcquireOrderLease(String serverId, String holder, boolean checksFencing, long leaseMs,
			long nowMs) implements StateCommand {
	}

	/**
	 * Tells the state machine the configuration of another share, so that claims can be
	 * checked against it.
	 *
	 * @param configJson the canonical JSON of the other share's accepted configuration
	 */
	record ObserveShare(byte[] configJson) implements StateCommand {
	}

}
