package io.fescuehold.runtime.http;

import io.fescuehold.runtime.backend.BackendOptions;

/**
 * The listen address, limits and time-outs of a router's HTTP server.
 *
 * @param address the IP address to listen on
 * @param port the port to listen on, 0 for any free port
 * @param tls the certificate presented to callers, or null for plain HTTP
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxHeaderBytes the maximum size of the request headers in bytes
 * @param requestReadTimeoutMs the maximum time in milliseconds to receive a request head,
 * and separately to receive its body
 * @param idleTimeoutMs the time in milliseconds after which an idle connection is closed
 * @param callerGraceMs the time in milliseconds for which a stream is kept at its server
 * after the caller has disconnected
 * @param heartbeatMs the interval in milliseconds of heartbeat comments on an idle stream
 * @param maxRecoveries the maximum number of recoveries of one chat request, which are
 * resumptions, continuations and retries
 * @param maxAnswerBytes the maximum size in bytes of a response that is held in memory,
 * and the maximum length in characters of the text kept to continue a stream
 * @param defaultDeadlineMs the time in milliseconds allowed for a chat request that
 * states no deadline
 * @param recordLimitMs the maximum time in milliseconds for which the response of a call
 * is delayed until the outcome is recorded
 * @param recordRepeatMs the time in milliseconds after the call's deadline until which
 * recording the outcome is retried in the background
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
		requirePositive("maxBodyBytes", maxBodyBytes);
		requirePositive("maxHeaderBytes", maxHeaderBytes);
		requirePositive("requestReadTimeoutMs", requestReadTimeoutMs);
		requirePositive("idleTimeoutMs", idleTimeoutMs);
		requirePositive("heartbeatMs", heartbeatMs);
		requirePositive("maxAnswerBytes", maxAnswerBytes);
		requirePositive("defaultDeadlineMs", defaultDeadlineMs);
		requirePositive("recordLimitMs", recordLimitMs);
		requirePositive("recordRepeatMs", recordRepeatMs);
	}

	private static void requirePositive(String name, int value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " is " + value + " but must be positive");
		}
	}

	/**
	 * Returns the default options.
	 * @param address the IP address to listen on
	 * @param port the port to listen on, 0 for any free port
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
	 * Returns a copy with other time-outs and intervals for callers.
	 * @param newRequestReadTimeoutMs the maximum time in milliseconds to receive a
	 * request head, and separately to receive its body
	 * @param newCallerGraceMs the time in milliseconds for which a stream is kept after
	 * the caller has disconnected
	 * @param newHeartbeatMs the interval in milliseconds of heartbeat comments on an idle
	 * stream
	 * @return the copy
	 */
	public RouterOptions withTimes(int newRequestReadTimeoutMs, int newCallerGraceMs, int newHeartbeatMs) {
		return new RouterOptions(this.address, this.port, this.tls, this.maxBodyBytes, this.maxHeaderBytes,
				newRequestReadTimeoutMs, this.idleTimeoutMs, newCallerGraceMs, newHeartbeatMs, this.maxRecoveries,
				this.maxAnswerBytes, this.defaultDeadlineMs, this.recordLimitMs, this.recordRepeatMs, this.backend);
	}

	/**
	 * The certificate presented to callers.
	 *
	 * @param certificateFile the path of the certificate chain in PEM form
	 * @param keyFile the path of the private key in PEM form
	 */
	public record Tls(String certificateFile, String keyFile) {

	}

}
