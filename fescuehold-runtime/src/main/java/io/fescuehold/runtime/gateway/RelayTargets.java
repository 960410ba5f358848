package io.fescuehold.runtime.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerState;
import reactor.core.publisher.Mono;

/**
 * The other hosts as targets of requests while this host is cut off from the servers. Not
 * thread-safe: confined to one thread.
 */
final class RelayTargets {

	private final ServerReach reach;

	private final int relayPort;

	private final GatewayMetrics metrics;

	private final GatewayLog log;

	/** The hosts that have passed requests on, with the requests in flight there. */
	private final Map<String, ServerState> hosts = new HashMap<>();

	RelayTargets(ServerReach reach, int relayPort, GatewayMetrics metrics, GatewayLog log) {
		this.reach = reach;
		this.relayPort = relayPort;
		this.metrics = metrics;
		this.log = log;
	}

	/**
	 * Chooses a host that passes a request on.
	 * @param request the request
	 * @param tried the servers and hosts that were tried before
	 * @param binding the servers that may send events of the stream
	 * @return the target, or null if the request has to go to a server
	 */
	Dispatcher.Target choose(GatewayRequest request, Set<String> tried, VersionBinding binding) {
		String hostId = isNeeded(request, binding) ? this.reach.chooseRelay(request.service(), tried) : null;
		if (hostId == null) {
			return null;
		}
		ServerState host = this.hosts.computeIfAbsent(hostId, (id) -> ServerState
			.unlisted(new BackendServer(id, request.service(), id + ":" + this.relayPort, "", 1, false, null)));
		this.metrics.relayed(request.service());
		this.log.relayed(request, hostId);
		return new Dispatcher.Target(host, null, "RELAY", true);
	}

	/**
	 * Returns whether a request should go to another host. One that was passed on before
	 * stays where it is.
	 * @param request the request
	 * @param binding the servers that may send events of the stream
	 * @return whether this host is cut off from the servers and others are not
	 */
	boolean isNeeded(GatewayRequest request, VersionBinding binding) {
		return request.hop() == null && !(binding instanceof VersionBinding.ToUnknown)
				&& this.reach.isCutOff(request.service());
	}

	/**
	 * Returns whether a silent server has only paused.
	 * @param target the server, or a host that passes the request on
	 * @return whether it still accepts connections
	 */
	Mono<Boolean> acceptsConnections(Dispatcher.Target target) {
		return target.relay() ? Mono.just(false) : this.reach.acceptsConnections(target.server().server());
	}

	/**
	 * Waits until it is known whether this host is cut off from the servers.
	 * @param request the request
	 * @return completes when a request can be retried
	 */
	Mono<Void> whenChecked(GatewayRequest request) {
		return (request.hop() == null) ? this.reach.whenChecked(request.service()) : Mono.empty();
	}

	/**
	 * Returns whether an attempt that takes long should be given up in favour of another
	 * target. A host that passes a request on moves it from a slow server itself.
	 * @param request the request
	 * @param target the target of the attempt
	 * @return true for servers, and for hosts that no longer answer
	 */
	boolean mayGiveUp(GatewayRequest request, Dispatcher.Target target) {
		return !target.relay() || !this.reach.isRelay(request.service(), target.server().server().id());
	}

	/**
	 * Records that a host did not pass a request on.
	 * @param target the host
	 */
	void recordFailure(Dispatcher.Target target) {
		this.reach.relayFailed(target.server().server().id());
	}

	/**
	 * Returns the addresses of the hosts that have passed requests on.
	 * @return the addresses
	 */
	List<String> addresses() {
		return this.hosts.values().stream().map((host) -> host.server().address()).toList();
	}

}
