package io.fescuehold.core.stream;

/**
 * Detects backend connections that have received nothing for longer than a threshold. The
 * threshold leaves part of the stall limit for opening another connection.
 */
public final class StallDetector {

	/**
	 * The shortest threshold in milliseconds. Servers send a comment every 250 ms, so
	 * with a shorter one a single late comment would count as a stall.
	 */
	public static final long MIN_THRESHOLD_MS = 600;

	/**
	 * The shortest threshold in milliseconds for the first byte of a resumed stream,
	 * which exceeds the comment interval of 250 ms.
	 */
	public static final long MIN_RESUME_THRESHOLD_MS = 300;

	private static final long MAX_CHECK_PAUSE_MS = 300;

	private static final long STREAM_THRESHOLD_DIVISOR = 2;

	private static final long RESUME_THRESHOLD_DIVISOR = 4;

	private final long firstByteThresholdMs;

	private final long thresholdMs;

	private long silentSinceMs;

	private long lastCheckAtMs;

	private boolean received;

	private StallDetector(long firstByteThresholdMs, long thresholdMs, long nowMs) {
		this.firstByteThresholdMs = firstByteThresholdMs;
		this.thresholdMs = thresholdMs;
		this.silentSinceMs = nowMs;
		this.lastCheckAtMs = nowMs;
	}

	/**
	 * Creates a detector for a request to a server that has not yet served the stream.
	 * @param stallLimitMs the longest stall in milliseconds that a caller may see
	 * @param nowMs the time in milliseconds
	 * @return the detector, whose threshold is half of the limit
	 */
	public static StallDetector ofRequest(long stallLimitMs, long nowMs) {
		long thresholdMs = Math.max(MIN_THRESHOLD_MS, stallLimitMs / STREAM_THRESHOLD_DIVISOR);
		return new StallDetector(thresholdMs, thresholdMs, nowMs);
	}

	/**
	 * Creates a detector for a resumed stream, whose server already has the tokens and
	 * responds at once.
	 * @param stallLimitMs the longest stall in milliseconds that a caller may see
	 * @param nowMs the time in milliseconds
	 * @return the detector, whose threshold is a quarter of the limit for the first byte
	 * and half of it afterwards
	 */
	public static StallDetector ofResume(long stallLimitMs, long nowMs) {
		return new StallDetector(Math.max(MIN_RESUME_THRESHOLD_MS, stallLimitMs / RESUME_THRESHOLD_DIVISOR),
				Math.max(MIN_THRESHOLD_MS, stallLimitMs / STREAM_THRESHOLD_DIVISOR), nowMs);
	}

	/**
	 * Records that bytes were received.
	 * @param nowMs the time in milliseconds
	 */
	public void bytesReceived(long nowMs) {
		this.received = true;
		this.silentSinceMs = nowMs;
	}

	/**
	 * Records that the reader requests bytes again after a pause. Silence during the
	 * pause does not indicate a stall of the server.
	 * @param nowMs the time in milliseconds
	 */
	public void readingResumed(long nowMs) {
		this.silentSinceMs = nowMs;
	}

	/**
	 * Checks for a stall; to be called at short intervals. A long interval between two
	 * checks means that the process itself was suspended or starved of CPU time. The
	 * silence then does not indicate a stall of the server and is measured anew.
	 * @param nowMs the time in milliseconds
	 * @return whether the connection has stalled
	 */
	public boolean check(long nowMs) {
		if (nowMs - this.lastCheckAtMs > MAX_CHECK_PAUSE_MS) {
			this.silentSinceMs = nowMs;
		}
		this.lastCheckAtMs = nowMs;
		return isStalled(nowMs);
	}

	/**
	 * Tells whether the silence exceeds the threshold.
	 * @param nowMs the time in milliseconds
	 * @return whether the connection has stalled
	 */
	public boolean isStalled(long nowMs) {
		return silentMs(nowMs) > ((this.received) ? this.thresholdMs : this.firstByteThresholdMs);
	}

	/**
	 * Returns the length of the silence.
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds since the last byte, or since the start or a pause
	 * if no byte was received after it
	 */
	public long silentMs(long nowMs) {
		return nowMs - this.silentSinceMs;
	}

}
