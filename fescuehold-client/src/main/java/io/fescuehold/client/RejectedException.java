package io.fescuehold.client;

/**
 * Carries a router's rejection between the steps of a call.
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
