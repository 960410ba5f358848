package io.fescuehold.runtime.backend;

import java.net.ConnectException;

import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.runtime.transport.NameResolution;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/**
 * Finds out whether a server accepts connections.
 */
public final class ConnectProbe {

	private ConnectProbe() {
	}

	/**
	 * Opens a connection and closes it.
	 * @param server the server
	 * @param loops the event loops of the connection
	 * @param timeoutMs the longest wait in milliseconds
	 * @return the result
	 */
	public static Mono<Result> probe(BackendServer server, LoopResources loops, int timeoutMs) {
		return NameResolution.unlessNumeric(TcpClient.newConnection(), server.ip())
			.runOn(loops, false)
			.host(server.ip())
			.port(server.port())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
			.connect()
			.doOnNext(Connection::dispose)
			.map((connection) -> Result.ACCEPTED)
			.onErrorResume((error) -> Mono.just(isRefusal(error) ? Result.REFUSED : Result.NO_RESPONSE));
	}

	private static boolean isRefusal(Throwable error) {
		return error instanceof ConnectException && !(error instanceof ConnectTimeoutException);
	}

	/**
	 * What a server does with a connection.
	 */
	public enum Result {

		/** The server accepts it. */
		ACCEPTED,

		/** No process listens at the address, or the network refuses the connection. */
		REFUSED,

		/** Whether the process has ended is unknown. */
		NO_RESPONSE

	}

}
