package io.fescuehold.standin.http;

import java.time.Duration;
import java.util.function.BiFunction;

import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.reactivestreams.Publisher;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * An HTTP server on the loopback address that can temporarily refuse new connections and
 * reset all open ones.
 */
public final class LoopbackServer implements AutoCloseable {

	/** The address that all stand-ins listen on. */
	public static final String HOST = "127.0.0.1";

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final HttpServer template;

	private final int port;

	private DisposableServer listener;

	private LoopbackServer(int port,
			BiFunction<? super HttpServerRequest, ? super HttpServerResponse, ? extends Publisher<Void>> handler) {
		this.template = HttpServer.create()
			.host(HOST)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.doOnConnection((connection) -> this.connections.add(connection.channel()))
			.handle(handler);
		this.listener = this.template.port(port).bindNow();
		this.port = this.listener.port();
	}

	/**
	 * Starts a server.
	 * @param port the port, or 0 for any free port
	 * @param handler answers each request
	 * @return the running server
	 */
	public static LoopbackServer bind(int port,
			BiFunction<? super HttpServerRequest, ? super HttpServerResponse, ? extends Publisher<Void>> handler) {
		return new LoopbackServer(port, handler);
	}

	/**
	 * Returns the bound port, which stays the same while connections are refused.
	 * @return the port
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Closes or reopens the listening socket. Open connections are not affected. Must not
	 * be called on an event loop because it waits for the socket.
	 * @param refuse whether new connections are refused from now on
	 */
	public synchronized void refuseConnections(boolean refuse) {
		if (refuse && this.listener != null) {
			this.listener.dispose();
			this.listener.onDispose().block(STOP_TIMEOUT);
			this.listener = null;
		}
		else if (!refuse && this.listener == null) {
			this.listener = this.template.port(this.port).bindNow();
		}
	}

	/**
	 * Resets all open connections.
	 */
	public void resetConnections() {
		this.connections.forEach(ChannelReset::reset);
	}

	@Override
	public void close() {
		refuseConnections(true);
		resetConnections();
	}

}
