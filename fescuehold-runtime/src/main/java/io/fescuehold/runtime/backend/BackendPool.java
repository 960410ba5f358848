package io.fescuehold.runtime.backend;

import java.time.Duration;

import io.fescuehold.runtime.transport.NameResolution;
import io.netty.channel.ChannelOption;
import reactor.netty.http.HttpResources;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * The connections to one backend server. Automatic retries of the HTTP client are
 * disabled; the router decides on retries within its retry budget.
 */
public final class BackendPool {

	private final String host;

	private final int port;

	private final BackendOptions options;

	private final LoopResources loops;

	private final boolean preferNative;

	private final HttpClient unpooledClient;

	private volatile Generation generation;

	/**
	 * Creates the pool without opening a connection.
	 * @param host the IP address of the server
	 * @param port the port of the server
	 * @param options the limits
	 */
	public BackendPool(String host, int port, BackendOptions options) {
		this(host, port, options, HttpResources.get(), LoopResources.DEFAULT_NATIVE);
	}

	/**
	 * Creates the pool without opening a connection.
	 * @param host the IP address of the server
	 * @param port the port of the server
	 * @param options the limits
	 * @param loops the event loops of the connections, without the native transport
	 */
	public BackendPool(String host, int port, BackendOptions options, LoopResources loops) {
		this(host, port, options, loops, false);
	}

	BackendPool(String host, int port, BackendOptions options, LoopResources loops, boolean preferNative) {
		this.preferNative = preferNative;
		this.loops = loops;
		this.host = host;
		this.port = port;
		this.options = options;
		this.unpooledClient = client(ConnectionProvider.newConnection());
		this.generation = newGeneration();
	}

	/**
	 * Returns a client that takes connections from the pool.
	 * @return the client
	 */
	public HttpClient pooled() {
		return this.generation.client();
	}

	/**
	 * Returns a client that opens a new connection for each request. A refused connection
	 * then proves that nothing was sent.
	 * @return the client
	 */
	public HttpClient fresh() {
		return this.unpooledClient;
	}

	/**
	 * Returns the current generation of pooled connections, which changes with each
	 * eviction.
	 * @return a token for {@link #evictIdle(Object)}
	 */
	public Object generation() {
		return this.generation;
	}

	/**
	 * Closes the idle pooled connections. Called when a connection to the server has
	 * stalled, because the others may be dead as well. Connections in use are closed when
	 * they are released, and requests that wait for a connection get one of the new
	 * generation.
	 * @param stalledGeneration the generation of the stalled connection; no connection is
	 * closed if that generation is no longer the current one
	 */
	public synchronized void evictIdle(Object stalledGeneration) {
		if (this.generation != stalledGeneration) {
			return;
		}
		Generation evicted = this.generation;
		this.generation = newGeneration();
		evicted.provider().disposeLater().subscribe();
	}

	/**
	 * Closes the pool.
	 */
	public synchronized void close() {
		this.generation.provider().disposeLater().subscribe();
	}

	private Generation newGeneration() {
		ConnectionProvider provider = ConnectionProvider.builder(this.host + ":" + this.port)
			.maxConnections(this.options.maxConnections())
			.pendingAcquireMaxCount(this.options.maxPendingAcquires())
			.pendingAcquireTimeout(Duration.ofMillis(this.options.acquireTimeoutMs()))
			.maxIdleTime(Duration.ofMillis(this.options.maxIdleMs()))
			.lifo()
			.build();
		return new Generation(provider, client(provider));
	}

	private HttpClient client(ConnectionProvider provider) {
		return NameResolution.unlessNumeric(HttpClient.create(provider), this.host)
			.runOn(this.loops, this.preferNative)
			.host(this.host)
			.port(this.port)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.options.connectTimeoutMs())
			.option(ChannelOption.TCP_NODELAY, true)
			.disableRetry(true)
			.followRedirect(false)
			.httpResponseDecoder((spec) -> spec.maxHeaderSize(this.options.maxHeaderBytes()))
			.doOnChannelInit((observer, channel, address) -> IdleReadGuard.install(channel.pipeline()));
	}

	private record Generation(ConnectionProvider provider, HttpClient client) {

	}

}
