package io.fescuehold.runtime.http;

/**
 * Since when a connection has made no progress. Changed on the thread of the connection
 * only.
 */
final class ConnectionProgress {

	/** Fewer bytes than this count as no progress of a body. */
	private static final int PROGRESS_BYTES = 1_024;

	private volatile long sinceNs;

	private int bytes;

	private boolean headBegun;

	/**
	 * Creates the progress of a connection that has just been opened.
	 * @param openedNs the time at which it was opened
	 */
	ConnectionProgress(long openedNs) {
		this.sinceNs = openedNs;
	}

	/**
	 * Bytes of the caller have arrived.
	 * @param count the number of bytes
	 */
	void received(int count) {
		this.bytes += count;
		if (this.bytes >= PROGRESS_BYTES) {
			this.bytes = 0;
			this.sinceNs = System.nanoTime();
		}
	}

	/**
	 * Bytes of a head are decoded. Only the first ones are a progress.
	 */
	void headBegun() {
		if (!this.headBegun) {
			this.headBegun = true;
			this.sinceNs = System.nanoTime();
		}
	}

	/**
	 * A response was sent.
	 */
	void responseSent() {
		this.headBegun = false;
		this.bytes = 0;
		this.sinceNs = System.nanoTime();
	}

	long sinceNs() {
		return this.sinceNs;
	}

}
