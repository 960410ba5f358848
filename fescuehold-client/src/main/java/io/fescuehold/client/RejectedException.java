package io.fescuehold.client;

/**
 * Signals an error response of a router to the code that decides about a retry.
 */
final class RejectedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	RejectedException(Problem problem) {
		super(problem.code(), null, false, false);
		this.problem = problem;
	}

	Problem problem() {
		return this.problem;
	}

}
