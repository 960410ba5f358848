package io.fescuehold.runtime.backend;

import java.util.Map;

/**
 * The failure of an exchange with a backend server.
 */
public final class BackendFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	private final transient BackendAnswer answer;

	/**
	 * Creates a failure without a response.
	 * @param kind the kind
	 * @param message what happened
	 * @param cause the cause, or null
	 */
	public BackendFailure(Kind kind, String message, Throwable cause) {
		super(message, cause);
		this.kind = kind;
		this.answer = null;
	}

	/**
	 * Creates a failure from a response whose status is not the expected one.
	 * @param answer the response
	 */
	public BackendFailure(BackendAnswer answer) {
		super("status " + answer.status());
		this.kind = Kind.STATUS;
		this.answer = answer;
	}

	/**
	 * Returns the kind.
	 * @return the kind
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * Returns the response.
	 * @return the response of kind STATUS, else an empty one with status 0
	 */
	public BackendAnswer answer() {
		return (this.answer != null) ? this.answer : new BackendAnswer(0, Map.of(), new byte[0]);
	}

	/**
	 * What failed.
	 */
	public enum Kind {

		/** Nothing was sent, so the request was certainly not run. */
		NOT_SENT,

		/** The connection was lost after sending began. */
		LOST,

		/** The connection went silent. */
		STALLED,

		/** The server responded with an unexpected status. */
		STATUS,

		/** The response breaks the protocol, for example by a missing position. */
		PROTOCOL,

		/** The response is larger than the router holds. */
		TOO_LARGE

	}

}
