package io.fescuehold.core.limits;

/**
 * The outcome of an admission check.
 */
public sealed interface Admission {

	/** The request may go on to placement. */
	record Admitted() implements Admission {
	}

	/**
	 * The request is refused and was not run.
	 *
	 * @param retryAfterMs the time in milliseconds after which the caller may retry
	 * @param hardLimit whether the team exceeded its hard limit, rather than its share of
	 * a congested pool
	 */
	record Refused(long retryAfterMs, boolean hardLimit) implements Admission {
	}

}
