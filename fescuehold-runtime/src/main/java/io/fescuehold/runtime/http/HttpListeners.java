package io.fescuehold.runtime.http;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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

	/**
	 * The bytes that one connection reads before it is the turn of the others. Their cost
	 * is that of the smallest chunks.
	 */
	private static final int MAX_READ_BYTES = 16 << 10;

	private static final int FIRST_READ_BYTES = 2_048;

	private static final int MIN_READ_BYTES = 256;

	/** The stalled connections that are closed in one pass. */
	private static final int STALLED_PER_PASS = 16;

	private final Counter refused;

	private final Counter displaced;

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
		this.refused = registry.counter(prefix + "refused");
		this.displaced = registry.counter(prefix + "displaced");
		// A server that is created anew replaces the gauge of the one before it.
		registry.remove(prefix + "open");
		registry.register(prefix + "open", (Gauge<Integer>) this.connections::size);
	}

	/**
	 * Creates a server whose connections are tracked.
	 * @return the server, to be configured and bound
	 */
	public HttpServer newServer() {
		return newServer(Integer.MAX_VALUE);
	}

	/**
	 * Creates a server whose connections are tracked and limited.
	 * @param maxConnections the maximum number of connections
	 * @return the server, to be configured and bound
	 */
	public HttpServer newServer(int maxConnections) {
		ConnectionGroup group = new ConnectionGroup(maxConnections, this.refused, this.displaced);
		return HttpServer.create()
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
						.maxMessagesPerRead(1))
			.doOnChannelInit((observer, channel, address) -> TrackedConnection.install(channel, this, group));
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
	 * Closes connections with a request that the caller neither ends nor reads the
	 * response of, those that have been so for longest first.
	 * @param stalledMs the time in milliseconds from which on a connection is closed
	 */
	public void closeStalled(long stalledMs) {
		long nowNs = System.nanoTime();
		this.connections.stream()
			.filter((connection) -> !connection.isKept()
					&& connection.stalledNs(nowNs) >= TimeUnit.MILLISECONDS.toNanos(stalledMs))
			.sorted(Comparator.comparing((TrackedConnection connection) -> -connection.stalledNs(nowNs)))
			.limit(STALLED_PER_PASS)
			.forEach((connection) -> {
				this.displaced.inc();
				connection.closeStalled();
			});
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
