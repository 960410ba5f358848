package io.fescuehold.runtime.gateway;

import java.util.function.BiFunction;

import io.fescuehold.runtime.http.ByteBudget;
import io.fescuehold.runtime.http.ConnectionAccount;
import io.fescuehold.runtime.http.HttpListeners;
import io.fescuehold.runtime.http.IdleTimeoutHandler;
import io.fescuehold.runtime.http.RequestHeadTimer;
import io.netty.channel.ChannelOption;
import org.reactivestreams.Publisher;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * The ports for callers and for other hosts, with the limits of what a connection may
 * cost. Callers cannot take the connections that are kept for other hosts.
 */
final class GatewayPorts {

	/** The connections of other hosts are this part of those of callers. */
	private static final int RELAY_PART = 2;

	/** The fields that hosts add to a head that they pass on. */
	private static final int RELAY_HEAD_BYTES = 4_096;

	/** The part of the memory from which on callers that stall lose their connection. */
	private static final double STALL_PART = 0.5;

	private static final long STALL_MS = 2_000;

	private final GatewayOptions options;

	private final GatewayBelief belief;

	private final HttpListeners listeners;

	private final ByteBudget memory;

	private final LoopResources loops;

	GatewayPorts(GatewayOptions options, GatewayBelief belief, HttpListeners listeners, ByteBudget memory,
			LoopResources loops) {
		this.options = options;
		this.belief = belief;
		this.listeners = listeners;
		this.memory = memory;
		this.loops = loops;
	}

	DisposableServer bindCallers(BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		return bind(this.options.port(), this.options.maxConnections(), 0, handler);
	}

	DisposableServer bindRelays(BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		return bind(this.options.relayPort(), Math.max(1, this.options.maxConnections() / RELAY_PART), RELAY_HEAD_BYTES,
				handler);
	}

	private DisposableServer bind(int port, int maxConnections, int extraHeadBytes,
			BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		return this.listeners.bind(this.listeners.newServer(maxConnections)
			.host(this.options.address())
			.port(port)
			.runOn(this.loops, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.doOnChannelInit((observer, channel, address) -> {
				ConnectionAccount.install(channel, this.memory,
						() -> this.belief.limits().maxHeaderBytes() + extraHeadBytes);
				RequestHeadTimer.install(channel.pipeline(), this.belief.limits().headerTimeoutMs());
				IdleTimeoutHandler.install(channel.pipeline(), () -> this.belief.limits().idleTimeoutMs());
			})
			.handle(handler));
	}

	void closeStalled() {
		if (this.memory.heldBytes() > this.memory.maxBytes() * STALL_PART) {
			this.listeners.closeStalled(STALL_MS);
		}
	}

}
