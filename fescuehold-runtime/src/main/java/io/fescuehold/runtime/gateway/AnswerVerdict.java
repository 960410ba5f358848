package io.fescuehold.runtime.gateway;

import io.fescuehold.core.error.FescueholdException;

/**
 * What the head of a response proves about a request. Only a signed response is the
 * answer of its server and may be delivered, unless its status promises the caller more
 * than the server states.
 */
sealed interface AnswerVerdict {

	/**
	 * The response is the answer of the addressed server.
	 */
	record Signed() implements AnswerVerdict {
	}

	/**
	 * The response states that the request has not run.
	 *
	 * @param otherInstance whether an instance other than the addressed one responded
	 */
	record NotRun(boolean otherInstance) implements AnswerVerdict {
	}

	/**
	 * The response is the answer of the addressed server. Its status promises that the
	 * request has not run, but the server does not state it; the request may have run.
	 *
	 * @param status the HTTP status
	 */
	record UnprovenRejection(int status) implements AnswerVerdict {
	}

	/**
	 * The response proves nothing; the request may have run.
	 *
	 * @param reason what the response lacks
	 */
	record Unproven(String reason) implements AnswerVerdict {
	}

	/**
	 * The host that was to pass the request on refused it.
	 *
	 * @param refusal the refusal
	 */
	record Refused(FescueholdException refusal) implements AnswerVerdict {
	}

}
