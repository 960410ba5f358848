package io.fescuehold.runtime.http;

import io.fescuehold.runtime.backend.BackendOptions;

/**
 * Addresses, limits and times of a router's HTTP path.
 *
 * @param address the IP address to listen on
 * @param port the port to listen on, 0 for any
 * @param tls the certificate for callers, or null for plain HTTP
 * @param maxBodyBytes the size of a request body at most
 * @param maxHeaderBytes the size of a request head at most
 * @param requestReadTimeoutMs the longest time in milliseconds to receive a request head,
 * and again to receive its body
 * @param idleTimeoutMs the time in milliseconds after which an idle connection is closed
 * @param callerGraceMs the time in milliseconds for which a stream is kept at its server
 * after the caller has left
 * @param heartbeatMs the interval in milliseconds of comments on an idle stream
 * @param maxRecoveries the new connections at most for one stream
 * @param maxAnswerBytes the size at most of a response that is held in memory, and of the
 * text kept for the continuation of a stream
 * @param defaultDeadlineMs the time in milliseconds for a chat request without a deadline
 * @param recordLimitMs the longest wait in milliseconds for the record of a response
 * @param recordRepeatMs how long in milliseconds the record of a call is repeated in the
 * background after the call's time limit
 * @param backend the limits of connections to backend servers
 */
public record RouterOptions(String address, int port, Tls tls, int maxBodyBytes, int maxHeaderBytes,
		int requestReadTimeoutMs, int idleTimeoutMs, int callerGraceMs, int heartbeatMs, int maxRecoveries,
		int maxAnswerBytes, int defaultDeadlineMs, int recordLimitMs, int recordRepeatMs, BackendOptions backend) {

	private static final int DEFAULT_MAX_BODY_BYTES = 1_048_576;

	private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;

	private static final int DEFAULT_REQUEST_READ_TIMEOUT_MS = 10_000;

	private static final int DEFAULT_IDLE_TIMEOUT_MS = 60_000;

	private static final int DEFAULT_CALLER_GRACE_MS = 5_000;

	private static final int DEFAULT_HEARTBEAT_MS = 400;

	private static final int DEFAULT_MAX_RECOVERIES = 8;

	private static final int DEFAULT_MAX_ANSWER_BYTES = 4_194_304;

	private static final int DEFAULT_DEADLINE_MS = 600_000;

	private static final int DEFAULT_RECORD_LIMIT_MS = 2_000;

	private static final int DEFAULT_RECORD_REPEAT_MS = 30_000;

	public RouterOptions {
		positive("maxBodyBytes", maxBodyBytes);
		positive("maxHeaderBytes", maxHeaderBytes);
		positive("requestReadTimeoutMs", requestReadTimeoutMs);
		positive("idleTimeoutMs", idleTimeoutMs);
		positive("heartbeatMs", heartbeatMs);
		positive("maxAnswerBytes", maxAnswerBytes);
		positive("defaultDeadlineMs", defaultDeadlineMs);
		positive("recordLimitMs", recordLimitMs);
		positive("recordRepeatMs", recordRepeatMs);
	}

	private static void positive(String name, int value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " is " + value + " but must be positive");
		}
	}

	/**
	 * Returns the default options.
	 * @param address the IP address to listen on
	 * @param port the port to listen on, 0 for any
	 * @return the options
	 */
	public static RouterOptions of(String address, int port) {
		return new RouterOptions(address, port, null, DEFAULT_MAX_BODY_BYTES, DEFAULT_MAX_HEADER_BYTES,
				DEFAULT_REQUEST_READ_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS, DEFAULT_CALLER_GRACE_MS, DEFAULT_HEARTBEAT_MS,
				DEFAULT_MAX_RECOVERIES, DEFAULT_MAX_ANSWER_BYTES, DEFAULT_DEADLINE_MS, DEFAULT_RECORD_LIMIT_MS,
				DEFAULT_RECORD_REPEAT_MS, BackendOptions.DEFAULT);
	}

	/**
	 * Returns a copy with TLS for callers.
	 * @param newTls the certificate
	 * @return the copy
	 */
	public RouterOptions withTls(Tls newTls) {
		return new RouterOptions(this.address, this.port, newTls, this.maxBodyBytes, this.maxHeaderBytes,
				this.requestReadTimeoutMs, this.idleTimeoutMs, this.callerGraceMs, this.heartbeatMs, this.maxRecoveries,
				this.maxAnswerBytes, this.defaultDeadlineMs, this.recordLimitMs, this.recordRepeatMs, this.backend);
	}

	/**
	 * Returns a copy with other times towards callers.
	 * @param newRequestReadTimeoutMs the longest time to receive a head or body
	 * @param newCallerGraceMs the time for which a stream is kept after the caller left
	 * @param newHeartbeatMs the interval of comments on an idle stream
	 * @return the copy
	 */
	public RouterOptions withTimes(int newRequestReadTimeoutMs, int newCallerGraceMs, int newHeartbeatMs) {
		return new RouterOptions(this.address, this.port, this.tls, this.maxBodyBytes, this.maxHeaderBytes,
				newRequestReadTimeoutMs, this.idleTimeoutMs, newCallerGraceMs, newHeartbeatMs, this.maxRecoveries,
				this.maxAnswerBytes, this.defaultDeadlineMs, this.recordLimitMs, this.recordRepeatMs, this.backend);
	}

	/**
	 * The certificate that callers see.
	 *
	 * @param certificateFile the path of the certificate chain in PEM form
	 * @param keyFile the path of the private key in PEM form
	 */
	public record Tls(String certificateFile, String keyFile) {

	}

}
