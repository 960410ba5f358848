package io.fescuehold.runtime.backend;

import java.net.ConnectException;
import java.util.Map;

import io.netty.channel.ConnectTimeoutException;

/**
 * Failure of an exchange with a backend server.
 */
public final class BackendFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	private final transient BackendResponse response;

	/**
	 * Creates a failure without a response.
	 * @param kind the kind
	 * @param message the description of the failure
	 * @param cause the cause, or null
	 */
	public BackendFailure(Kind kind, String message, Throwable cause) {
		super(message, cause);
		this.kind = kind;
		this.response = null;
	}

	/**
	 * Creates a failure from a response whose status is not the expected one.
	 * @param response the response
	 */
	public BackendFailure(BackendResponse response) {
		super("status " + response.status());
		this.kind = Kind.STATUS;
		this.response = response;
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
	 * @return the response if the kind is STATUS, else an empty response with status 0
	 */
	public BackendResponse response() {
		return (this.response != null) ? this.response : new BackendResponse(0, Map.of(), new byte[0]);
	}

	/**
	 * Returns whether the server's host refused the connection, so that no process
	 * listens there. Without any response it is unknown whether the process has ended.
	 * @return whether the connection was refused
	 */
	public boolean isRefusedConnection() {
		for (Throwable cause = getCause(); cause != null; cause = cause.getCause()) {
			if (cause instanceof ConnectException) {
				return !(cause instanceof ConnectTimeoutException);
			}
		}
		return false;
	}

	/**
	 * The kind of a failure.
	 */
	public enum Kind {

		/** Nothing was sent, so the server cannot have run the request. */
		NOT_SENT,

		/** Nothing was sent, because the server no longer takes requests. */
		WITHHELD,

		/** The connection was lost after sending began. */
		LOST,

		/** No data arrived for too long, although the connection stayed open. */
		STALLED,

		/** The server responded with an unexpected status. */
		STATUS,

		/** The response violates the protocol, for example by a missing position. */
		PROTOCOL,

		/** The response exceeds the size that the router buffers. */
		TOO_LARGE,

		/** This host may not hold the response beside those of other requests. */
		HOST_MEMORY_FULL

	}

}
