package io.fescuehold.daemon.gateway;

import io.fescuehold.runtime.http.ByteBudget;
import io.fescuehold.runtime.http.ConnectionAccount;
import io.fescuehold.runtime.http.HttpListeners;
import io.fescuehold.runtime.http.IdleTimeoutHandler;
import io.fescuehold.runtime.http.RequestHeadTimer;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * HTTP servers of operators and of the platform, with memory, connections and time limits
 * of their own, so that callers cannot keep operators out.
 */
public final class OperatorHttp {

	private static final int MAX_HEAD_BYTES = 16_384;

	private static final int HEAD_TIMEOUT_MS = 3_000;

	private static final int IDLE_TIMEOUT_MS = 60_000;

	private final HttpListeners listeners;

	private final ByteBudget memory;

	private final int maxConnections;

	OperatorHttp(HttpListeners listeners, long memoryBytes, int maxConnections) {
		this.listeners = listeners;
		this.memory = new ByteBudget(memoryBytes);
		this.maxConnections = maxConnections;
	}

	/**
	 * Creates a server whose connections are tracked and limited.
	 * @return the server, to be configured and bound
	 */
	public HttpServer newServer() {
		return this.listeners.newServer(this.maxConnections).doOnChannelInit((observer, channel, address) -> {
			ConnectionAccount.install(channel, this.memory, () -> MAX_HEAD_BYTES);
			RequestHeadTimer.install(channel.pipeline(), HEAD_TIMEOUT_MS);
			IdleTimeoutHandler.install(channel.pipeline(), () -> IDLE_TIMEOUT_MS);
		});
	}

	/**
	 * Binds a server.
	 * @param server a server that {@link #newServer()} created
	 * @return the bound server
	 */
	public DisposableServer bind(HttpServer server) {
		return this.listeners.bind(server);
	}

	/**
	 * Returns the bytes that may be held for all calls of operators.
	 * @return the budget
	 */
	public ByteBudget memory() {
		return this.memory;
	}

}
