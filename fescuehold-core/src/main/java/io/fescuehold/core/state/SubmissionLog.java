package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.fescuehold.core.error.ErrorCode;

/**
 * The accepted submissions of a share. It decides which number may be accepted next and
 * answers submissions that were sent again.
 */
final class SubmissionLog {

	/** The number of submissions whose outcome is kept. */
	static final int KEPT_SUBMISSIONS = 10_000;

	private final TreeMap<Long, AcceptedSubmission> accepted = new TreeMap<>();

	/**
	 * Answers a submission whose number does not allow its acceptance.
	 * @param number the number of the submission
	 * @param digest the digest of its content
	 * @return the answer, or empty if the number is the next one
	 */
	Optional<StateOutcome> answerWithoutAcceptance(long number, String digest) {
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
		if (this.accepted.size() > KEPT_SUBMISSIONS) {
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
	 * Returns the submissions kept.
	 * @return the submissions by ascending number
	 */
	List<AcceptedSubmission> entries() {
		return new ArrayList<>(this.accepted.values());
	}

	/**
	 * Replaces the submissions kept.
	 * @param entries the submissions
	 */
	void restore(List<AcceptedSubmission> entries) {
		this.accepted.clear();
		entries.forEach((entry) -> this.accepted.put(entry.number(), entry));
	}

}
