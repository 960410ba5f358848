package io.fescuehold.core.state;

/**
 * The record of a non-idempotent call.
 *
 * @param key the key of the call
 * @param bodyDigest the SHA-256 over method, path and body in hexadecimal
 * @param service the service that is called
 * @param routerId the host id of the router that was granted the call
 * @param attemptId identifies the router's attempt, or empty
 * @param fencingNumber the fencing number that the call was granted
 * @param status the state of the call
 * @param deadlineMs the time in milliseconds since the epoch after which a begun call
 * counts as unknown
 * @param expiresAtMs the time in milliseconds since the epoch at which the record is
 * removed
 * @param answer the answer of a completed call, otherwise null
 */
public record CallRecord(CallKey key, String bodyDigest, String service, String routerId, String attemptId,
		long fencingNumber, Status status, long deadlineMs, long expiresAtMs, StoredAnswer answer) {

	/**
	 * Returns a copy with another state.
	 * @param newStatus the state of the call
	 * @param newAnswer the answer, or null
	 * @param newExpiresAtMs the time in milliseconds since the epoch at which the record
	 * is removed
	 * @return the copy
	 */
	CallRecord with(Status newStatus, StoredAnswer newAnswer, long newExpiresAtMs) {
		return new CallRecord(this.key, this.bodyDigest, this.service, this.routerId, this.attemptId,
				this.fencingNumber, newStatus, this.deadlineMs, newExpiresAtMs, newAnswer);
	}

	/**
	 * The state of a call.
	 */
	public enum Status {

		/** The call was granted and may be running. */
		BEGUN,

		/** The call ran and its answer is recorded. */
		COMPLETED,

		/** Whether the call ran is unknown. */
		UNKNOWN

	}

}
