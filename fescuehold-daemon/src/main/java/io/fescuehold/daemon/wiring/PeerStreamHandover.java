package io.fescuehold.daemon.wiring;

import java.time.Duration;

import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.runtime.fleet.FleetMessage;
import io.fescuehold.runtime.http.port.StreamHandover;
import reactor.core.publisher.Mono;

/**
 * Announces resumed streams to the routers that served them before.
 */
final class PeerStreamHandover implements StreamHandover {

	private static final Duration TIMEOUT = Duration.ofMillis(500);

	private final PeerTransport transport;

	/**
	 * Creates a stream handover.
	 * @param transport the connections to the other daemons
	 */
	PeerStreamHandover(PeerTransport transport) {
		this.transport = transport;
	}

	@Override
	public Mono<Void> announce(String routerHostId, String serverId, String streamId) {
		return this.transport.request(routerHostId, new FleetMessage.StreamTaken(serverId, streamId), TIMEOUT).then();
	}

}
