package io.fescuehold.runtime.http;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * HTTP listeners of one purpose with their connections, which stop without leaving a
 * request that was read without its response:
 * <ol>
 * <li>{@link #closeAfterResponses()}: the next response on each connection is its last
 * one;
 * <li>{@link #drain()}: no connection is accepted any more, and each is closed as soon as
 * it has no request;
 * <li>{@link #isDrained()}: no connection is left;
 * <li>{@link #closeNow()}: those that are left are closed as they are.
 * </ol>
 * A connection counts as open until the caller has closed its side, or for a bounded time
 * after the last response, because a response that the process has written may still be
 * lost: a connection that is closed with unread input is reset.
 * <p>
 * Counts how connections end under {@code NAME.connections.}, see {@link ConnectionEnd}.
 */
public final class HttpListeners {

	/**
	 * The idle connections that are closed in one pass. What has arrived on the others is
	 * read between two passes.
	 */
	private static final int CLOSES_PER_PASS = 16;

	private final Map<ConnectionEnd, Counter> ends = new EnumMap<>(ConnectionEnd.class);

	private final Set<TrackedConnection> connections = ConcurrentHashMap.newKeySet();

	/** Accepted connections that are not tracked yet. */
	private final Set<Channel> accepted = ConcurrentHashMap.newKeySet();

	private final List<DisposableServer> listeners = new ArrayList<>();

	private int bindsUnderWay;

	private volatile boolean closing;

	private volatile boolean draining;

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
		// A server that is created anew replaces the gauge of the one before it.
		registry.remove(prefix + "open");
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
	 * Binds a server. If the drain has begun, the listener is closed at once.
	 * @param server a server that {@link #newServer()} created
	 * @return the bound server
	 */
	public DisposableServer bind(HttpServer server) {
		synchronized (this) {
			this.bindsUnderWay++;
		}
		DisposableServer bound = null;
		try {
			// Outside the monitor, because the thread that binds may wait for the
			// monitor.
			bound = server.bindNow();
			bound.channel().pipeline().addFirst(new AcceptHandler());
			return bound;
		}
		finally {
			addListener(bound);
		}
	}

	private synchronized void addListener(DisposableServer bound) {
		this.bindsUnderWay--;
		if (bound != null) {
			this.listeners.add(bound);
			if (this.draining) {
				close(bound);
			}
		}
	}

	// Takes the connections that callers have opened already, because closing the
	// listener would reset them.
	private void close(DisposableServer listener) {
		listener.channel().eventLoop().execute(() -> {
			AcceptHandler acceptor = listener.channel().pipeline().get(AcceptHandler.class);
			for (long known = -1; acceptor != null && acceptor.count > known;) {
				known = acceptor.count;
				PendingInput.read(listener.channel());
			}
			listener.dispose();
		});
	}

	/**
	 * Makes the next response on each connection its last one.
	 */
	public void closeAfterResponses() {
		this.closing = true;
	}

	/**
	 * Stops listening, closes the connections without a request, and the others after
	 * their response.
	 */
	public synchronized void drain() {
		if (this.draining) {
			return;
		}
		this.closing = true;
		this.draining = true;
		this.listeners.forEach(this::close);
		int index = 0;
		for (TrackedConnection connection : this.connections) {
			connection.closeWhenIdle(index / CLOSES_PER_PASS);
			index++;
		}
	}

	/**
	 * Returns whether the drain is complete.
	 * @return whether no port is bound and no connection is open
	 */
	public synchronized boolean isDrained() {
		return this.draining && this.bindsUnderWay == 0
				&& this.listeners.stream().allMatch(DisposableServer::isDisposed) && this.accepted.isEmpty()
				&& this.connections.isEmpty();
	}

	/**
	 * Closes all listeners and connections, also those with open requests.
	 */
	public void closeNow() {
		drain();
		this.connections.forEach(TrackedConnection::closeNow);
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

	boolean isClosing() {
		return this.closing;
	}

	boolean isDraining() {
		return this.draining;
	}

	void opened(TrackedConnection connection, Channel channel) {
		this.connections.add(connection);
		this.accepted.remove(channel);
		if (this.draining) {
			connection.closeWhenIdle(0);
		}
	}

	void closed(TrackedConnection connection, ConnectionEnd end) {
		if (this.connections.remove(connection)) {
			this.ends.get(end).inc();
		}
	}

	/**
	 * Sees the connections that a listener accepts, before they are handed to the thread
	 * that serves them.
	 */
	private final class AcceptHandler extends ChannelInboundHandlerAdapter {

		private long count;

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
			if (message instanceof Channel channel) {
				this.count++;
				HttpListeners.this.accepted.add(channel);
				channel.closeFuture().addListener((closed) -> HttpListeners.this.accepted.remove(channel));
			}
			super.channelRead(ctx, message);
		}

	}

}
