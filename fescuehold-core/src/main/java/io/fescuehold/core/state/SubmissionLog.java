package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.fescuehold.core.error.ErrorCode;

/**
 * The accepted submissions of a share. Enforces consecutive submission numbers and makes
 * resubmission idempotent.
 */
final class SubmissionLog {

	/** The number of most recent submissions whose outcome is retained. */
	static final int MAX_RETAINED_SUBMISSIONS = 10_000;

	private final TreeMap<Long, AcceptedSubmission> accepted = new TreeMap<>();

	/**
	 * Returns the outcome of a submission that is not the next in sequence.
	 * @param number the number of the submission
	 * @param digest the digest of its content
	 * @return the original outcome if the same content was accepted under the number, a
	 * conflict if other content was, a refusal if the number is out of range or its
	 * outcome is no longer retained, or empty if the number is the next one
	 */
	Optional<StateOutcome> outcomeUnlessNext(long number, String digest) {
		long current = currentNumber();
		if (number == current + 1) {
			return Optional.empty();
		}
		if (number < 1 || number > current) {
			return Optional.of(refused(ErrorCode.SUBMISSION_NUMBER, number, current + 1));
		}
		AcceptedSubmission winner = this.accepted.get(number);
		if (winner == null) {
			return Optional.of(refused(ErrorCode.SUBMISSION_TOO_OLD, number, this.accepted.firstKey()));
		}
		if (winner.digest().equals(digest)) {
			return Optional.of(new StateOutcome.Submitted(number, digest, winner.acceptedAtMs()));
		}
		return Optional.of(new StateOutcome.SubmissionConflict(number, winner.digest(), winner.operator(),
				winner.acceptedAtMs(), current));
	}

	private static StateOutcome refused(ErrorCode code, long number, long bound) {
		return new StateOutcome.SubmissionRefused(code.name(), "/number", code.message(number, bound));
	}

	/**
	 * Records an accepted submission.
	 * @param submission the submission, whose number is the next one
	 * @return the outcome
	 */
	StateOutcome accept(AcceptedSubmission submission) {
		this.accepted.put(submission.number(), submission);
		if (this.accepted.size() > MAX_RETAINED_SUBMISSIONS) {
			this.accepted.pollFirstEntry();
		}
		return new StateOutcome.Submitted(submission.number(), submission.digest(), submission.acceptedAtMs());
	}

	/**
	 * Returns the number in force.
	 * @return the number, 0 before the first submission
	 */
	long currentNumber() {
		return this.accepted.isEmpty() ? 0 : this.accepted.lastKey();
	}

	/**
	 * Returns the retained submissions.
	 * @return the submissions by ascending number
	 */
	List<AcceptedSubmission> entries() {
		return new ArrayList<>(this.accepted.values());
	}

	/**
	 * Replaces the retained submissions.
	 * @param entries the submissions
	 */
	void restore(List<AcceptedSubmission> entries) {
		this.accepted.clear();
		entries.forEach((entry) -> this.accepted.put(entry.number(), entry));
	}

}
