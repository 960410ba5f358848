package io.fescuehold.standin.hosts;

import java.time.Duration;
import java.util.List;

import io.fescuehold.standin.http.JsonHttp;
import io.fescuehold.standin.http.LoopbackServer;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The list of live and leaving hosts. {@code PUT /hosts} sets the content, which
 * {@code GET /hosts} returns after a lag.
 */
public final class HostList implements AutoCloseable {

	private final LoopbackServer server;

	private final Duration lag;

	private volatile Hosts published = new Hosts(List.of());

	private HostList(int port, Duration lag) {
		this.lag = lag;
		this.server = LoopbackServer.bind(port, this::handle);
	}

	/**
	 * Starts a host list.
	 * @param port the port, or 0 for any free port
	 * @param lagMs the time until new content is published in milliseconds
	 * @return the running host list
	 */
	public static HostList start(int port, int lagMs) {
		return new HostList(port, Duration.ofMillis(lagMs));
	}

	/**
	 * Returns the port of the host list.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Sets the content, which is published after the lag.
	 * @param hosts the hosts
	 */
	public void set(Hosts hosts) {
		if (this.lag.isZero()) {
			this.published = hosts;
			return;
		}
		Mono.delay(this.lag).subscribe((tick) -> this.published = hosts);
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String route = request.method().name() + " " + JsonHttp.path(request);
		return switch (route) {
			case "GET /hosts" -> JsonHttp.send(response, 200, this.published);
			case "PUT /hosts" -> JsonHttp.read(request, response, Hosts.class, (hosts) -> {
				set(hosts);
				return JsonHttp.send(response, 200, hosts);
			});
			default -> JsonHttp.sendError(response, 404, "Nothing is served at " + route);
		};
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * The content of the list.
	 *
	 * @param hosts the hosts
	 */
	public record Hosts(List<Host> hosts) {

		public Hosts {
			hosts = (hosts != null) ? List.copyOf(hosts) : List.of();
		}

	}

	/**
	 * A host.
	 *
	 * @param hostId the host
	 * @param state live or leaving
	 */
	public record Host(String hostId, String state) {

		public Host {
			if (hostId == null || !List.of("live", "leaving").contains(String.valueOf(state))) {
				throw new IllegalArgumentException(
						"hostId is " + hostId + " and state is " + state + "; use a host id and live or leaving");
			}
		}

	}

}
