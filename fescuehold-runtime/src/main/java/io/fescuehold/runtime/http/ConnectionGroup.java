package io.fescuehold.runtime.http;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;

/**
 * The connections of one listener, whose number is limited. When all are taken, a new one
 * takes the place of the one that has made no progress for longest; one that waits for a
 * response keeps its place. Thread-safe.
 */
final class ConnectionGroup {

	/** A connection without progress for this time may lose its place. */
	private static final long STALLED_NS = TimeUnit.SECONDS.toNanos(1);

	private final int maxConnections;

	private final Set<TrackedConnection> connections = ConcurrentHashMap.newKeySet();

	private final Counter refused;

	private final Counter displaced;

	/**
	 * Creates a group without connections.
	 * @param maxConnections the maximum number of connections
	 * @param refused counts the connections that found no place
	 * @param displaced counts those that lost their place
	 */
	ConnectionGroup(int maxConnections, Counter refused, Counter displaced) {
		this.maxConnections = maxConnections;
		this.refused = refused;
		this.displaced = displaced;
	}

	void opened(TrackedConnection connection) {
		this.connections.add(connection);
		if (this.connections.size() <= this.maxConnections) {
			return;
		}
		Optional<TrackedConnection> place = longestStalled(connection);
		if (place.isPresent()) {
			this.displaced.inc();
			closed(place.get());
			place.get().closeStalled();
		}
		else {
			this.refused.inc();
			closed(connection);
			connection.closeNow();
		}
	}

	// A caller that waits between two requests is the last one to lose its place.
	private Optional<TrackedConnection> longestStalled(TrackedConnection except) {
		long nowNs = System.nanoTime();
		return this.connections.stream()
			.filter((connection) -> connection != except && connection.stalledNs(nowNs) >= STALLED_NS)
			.max(Comparator.comparing((TrackedConnection connection) -> !connection.isKept())
				.thenComparing((connection) -> connection.stalledNs(nowNs)));
	}

	void closed(TrackedConnection connection) {
		this.connections.remove(connection);
	}

}
