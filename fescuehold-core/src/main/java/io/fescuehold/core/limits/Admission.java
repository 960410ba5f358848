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
	 * @param retryAfterMs the time in milliseconds after which the caller may return
	 * @param hardLimit whether the team's hard limit was exceeded, rather than its share
	 * of a congested pool
	 */
	record Refused(long retryAfterMs, boolean hardLimit) implements Admission {
	}

}
