package io.fescuehold.runtime.transport;

import com.codahale.metrics.MetricRegistry;

/**
 * Counts messages and bytes by message group.
 */
final class TrafficCounters {

	private static final int LENGTH_BYTES = 4;

	private final MetricRegistry metrics;

	/**
	 * Creates the counters.
	 * @param metrics the registry of the counters
	 */
	TrafficCounters(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	/**
	 * Counts a frame that was written to a connection.
	 * @param group the message group
	 * @param bodyBytes the size of the body in bytes
	 */
	void sent(String group, int bodyBytes) {
		count("sent", group, bodyBytes);
	}

	/**
	 * Counts a frame that was read from a connection.
	 * @param group the message group
	 * @param bodyBytes the size of the body in bytes
	 */
	void received(String group, int bodyBytes) {
		count("received", group, bodyBytes);
	}

	/**
	 * Counts a message that was dropped before it was written.
	 * @param group the message group
	 */
	void dropped(String group) {
		this.metrics.counter("transport.dropped." + group + ".messages").inc();
	}

	/** Counts a connection that was closed because no bytes arrived on it. */
	void silentConnection() {
		this.metrics.counter("transport.silentConnections").inc();
	}

	private void count(String direction, String group, int bodyBytes) {
		this.metrics.counter("transport." + direction + "." + group + ".bytes").inc(bodyBytes + LENGTH_BYTES);
		this.metrics.counter("transport." + direction + "." + group + ".messages").inc();
	}

}
