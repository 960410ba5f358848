package io.fescuehold.runtime.http;

import java.util.EnumMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * HTTP listeners of one purpose, and the state of their connections. Counts how
 * connections end under {@code NAME.connections.}, where {@code UNANSWERED} and
 * {@code CUT} are faults of this process.
 */
public final class HttpListeners {

	private final Map<ConnectionEnd, Counter> ends = new EnumMap<>(ConnectionEnd.class);

	private final Set<TrackedConnection> connections = ConcurrentHashMap.newKeySet();

	/**
	 * Creates an object without listeners.
	 * @param name the prefix of the metrics
	 * @param registry the registry of the metrics
	 */
	public HttpListeners(String name, MetricRegistry registry) {
		String prefix = name + ".connections.";
		for (ConnectionEnd end : ConnectionEnd.values()) {
			this.ends.put(end, registry.counter(prefix + end.name()));
		}
		registry.register(prefix + "open", (Gauge<Integer>) this.connections::size);
	}

	/**
	 * Creates a server whose connections are tracked.
	 * @return the server, to be configured and bound
	 */
	public HttpServer newServer() {
		return HttpServer.create()
			.doOnChannelInit((observer, channel, address) -> TrackedConnection.install(channel, this));
	}

	/**
	 * Binds a server.
	 * @param server a server that {@link #newServer()} created
	 * @return the bound server
	 */
	public DisposableServer bind(HttpServer server) {
		return server.bindNow();
	}

	/**
	 * Returns the state of the connections.
	 * @return the open connections, and how those before them ended
	 */
	public ConnectionReport report() {
		int unanswered = 0;
		int incomplete = 0;
		long unsentBytes = 0;
		for (TrackedConnection connection : this.connections) {
			switch (connection.endIfClosed()) {
				case UNANSWERED, CUT -> unanswered++;
				case INCOMPLETE -> incomplete++;
				case COMPLETE, PEER -> {
				}
			}
			unsentBytes += connection.unsentBytes();
		}
		Map<ConnectionEnd, Long> closed = new EnumMap<>(ConnectionEnd.class);
		this.ends.forEach((end, counter) -> closed.put(end, counter.getCount()));
		return new ConnectionReport(closed, this.connections.size(), unanswered, incomplete, unsentBytes);
	}

	void opened(TrackedConnection connection) {
		this.connections.add(connection);
	}

	void closed(TrackedConnection connection, ConnectionEnd end) {
		if (this.connections.remove(connection)) {
			this.ends.get(end).inc();
		}
	}

}
