package io.fescuehold.core.stream;

/**
 * Measures the silence of a backend connection against a threshold. The threshold leaves
 * part of the stall limit for opening another connection.
 */
public final class StallWatch {

	/**
	 * The shortest threshold in milliseconds. Servers send a comment every 250 ms, so a
	 * shorter one would count a single late comment as a stall.
	 */
	public static final long MIN_THRESHOLD_MS = 600;

	/**
	 * The shortest threshold in milliseconds for the first byte of a resumed stream,
	 * which exceeds the comment interval of 250 ms.
	 */
	public static final long MIN_RESUME_THRESHOLD_MS = 300;

	private static final long MAX_CHECK_PAUSE_MS = 300;

	private static final long STREAM_PARTS = 2;

	private static final long RESUME_PARTS = 4;

	private final long firstThresholdMs;

	private final long thresholdMs;

	private long heardAtMs;

	private long checkedAtMs;

	private boolean heard;

	private StallWatch(long firstThresholdMs, long thresholdMs, long nowMs) {
		this.firstThresholdMs = firstThresholdMs;
		this.thresholdMs = thresholdMs;
		this.heardAtMs = nowMs;
		this.checkedAtMs = nowMs;
	}

	/**
	 * Watches a request to a server that has not yet served the stream.
	 * @param stallLimitMs the longest stall in milliseconds that a caller may see
	 * @param nowMs the time in milliseconds
	 * @return the watch, whose threshold is half of the limit
	 */
	public static StallWatch ofRequest(long stallLimitMs, long nowMs) {
		long thresholdMs = Math.max(MIN_THRESHOLD_MS, stallLimitMs / STREAM_PARTS);
		return new StallWatch(thresholdMs, thresholdMs, nowMs);
	}

	/**
	 * Watches a resumed stream, whose server holds the tokens already and responds at
	 * once.
	 * @param stallLimitMs the longest stall in milliseconds that a caller may see
	 * @param nowMs the time in milliseconds
	 * @return the watch, whose threshold is a quarter of the limit for the first byte and
	 * half of it afterwards
	 */
	public static StallWatch ofResume(long stallLimitMs, long nowMs) {
		return new StallWatch(Math.max(MIN_RESUME_THRESHOLD_MS, stallLimitMs / RESUME_PARTS),
				Math.max(MIN_THRESHOLD_MS, stallLimitMs / STREAM_PARTS), nowMs);
	}

	/**
	 * Notes that bytes arrived.
	 * @param nowMs the time in milliseconds
	 */
	public void bytesReceived(long nowMs) {
		this.heard = true;
		this.heardAtMs = nowMs;
	}

	/**
	 * Notes that the reader asks for bytes after a pause, during which silence says
	 * nothing about the server.
	 * @param nowMs the time in milliseconds
	 */
	public void readingResumed(long nowMs) {
		this.heardAtMs = nowMs;
	}

	/**
	 * Checks the silence; called at short intervals. If the checks themselves paused, the
	 * process was frozen or starved, and the silence until now says nothing about the
	 * server.
	 * @param nowMs the time in milliseconds
	 * @return whether the connection has stalled
	 */
	public boolean check(long nowMs) {
		if (nowMs - this.checkedAtMs > MAX_CHECK_PAUSE_MS) {
			this.heardAtMs = nowMs;
		}
		this.checkedAtMs = nowMs;
		return isStalled(nowMs);
	}

	/**
	 * Tells whether the silence exceeds the threshold.
	 * @param nowMs the time in milliseconds
	 * @return whether the connection has stalled
	 */
	public boolean isStalled(long nowMs) {
		return silentMs(nowMs) > ((this.heard) ? this.thresholdMs : this.firstThresholdMs);
	}

	/**
	 * Returns the length of the silence.
	 * @param nowMs the time in milliseconds
	 * @return the time since the last byte in milliseconds
	 */
	public long silentMs(long nowMs) {
		return nowMs - this.heardAtMs;
	}

}
