package io.fescuehold.core.state;

/**
 * The outcome of a {@link StateCommand}, other than a {@link CallOutcome}.
 */
public sealed interface StateOutcome extends CommandOutcome {

	/**
	 * The configuration is accepted. Submitting the same content again under the same
	 * number returns the same outcome.
	 *
	 * @param number the number of the submission
	 * @param digest the digest of the content
	 * @param acceptedAtMs the leader's time of acceptance in milliseconds since the epoch
	 */
	record Submitted(long number, String digest, long acceptedAtMs) implements StateOutcome {
	}

	/**
	 * Different content was already accepted under the number.
	 *
	 * @param number the number that was submitted
	 * @param winnerDigest the digest of the accepted content
	 * @param winnerOperator the operator of the accepted content
	 * @param winnerAcceptedAtMs the leader's time of acceptance in milliseconds since the
	 * epoch
	 * @param currentNumber the number now in force
	 */
	record SubmissionConflict(long number, String winnerDigest, String winnerOperator, long winnerAcceptedAtMs,
			long currentNumber) implements StateOutcome {
	}

	/**
	 * The submission violates a rule.
	 *
	 * @param errorCode the name of the {@link io.fescuehold.core.error.ErrorCode}
	 * @param pointer the JSON pointer of the refused value
	 * @param message the refused value and the remedy
	 */
	record SubmissionRefused(String errorCode, String pointer, String message) implements StateOutcome {
	}

	/**
	 * The order lease is granted.
	 *
	 * @param fencingNumber the fencing number that orders carry
	 * @param expiresAtMs the end of the lease in milliseconds since the epoch
	 */
	record LeaseGranted(long fencingNumber, long expiresAtMs) implements StateOutcome {
	}

	/**
	 * Another router holds the order lease.
	 *
	 * @param holder the host id of the holder
	 * @param retryAfterMs the time in milliseconds until the lease has expired, including
	 * the margin for clock drift
	 */
	record LeaseHeld(String holder, long retryAfterMs) implements StateOutcome {
	}

	/** The command has been applied and has no further result. */
	record Done() implements StateOutcome {
	}

}
