package io.fescuehold.standin.proxy;

import io.fescuehold.standin.http.JsonHttp;
import io.fescuehold.standin.http.LoopbackServer;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Controls a proxy over HTTP: {@code POST /faults} with a {@link ProxyFault}.
 */
public final class ProxyControl implements AutoCloseable {

	private final FaultProxy proxy;

	private final LoopbackServer server;

	/**
	 * Starts the control endpoint.
	 * @param port the port, or 0 for any free port
	 * @param proxy the proxy
	 */
	public ProxyControl(int port, FaultProxy proxy) {
		this.proxy = proxy;
		this.server = LoopbackServer.bind(port, this::handle);
	}

	/**
	 * Returns the port of the endpoint.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String route = request.method().name() + " " + JsonHttp.path(request);
		if (!"POST /faults".equals(route)) {
			return JsonHttp.sendError(response, 404, "Nothing is served at " + route);
		}
		return JsonHttp.read(request, response, ProxyFault.class,
				(fault) -> Mono.fromRunnable(() -> this.proxy.set(fault))
					.subscribeOn(Schedulers.boundedElastic())
					.then(JsonHttp.send(response, 200, fault)));
	}

	@Override
	public void close() {
		this.server.close();
	}

}
