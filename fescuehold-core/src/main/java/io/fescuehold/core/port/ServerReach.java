package io.fescuehold.core.port;

import java.util.Set;

import io.fescuehold.core.servers.BackendServer;
import reactor.core.publisher.Mono;

/**
 * Tells servers that are gone from servers that only this host cannot reach, and names
 * hosts that can pass requests on.
 */
public interface ServerReach {

	/**
	 * Records that a connection to a server could not be opened or fell silent.
	 * @param server the server
	 */
	void linkFailed(BackendServer server);

	/**
	 * Records that a server responded to this host.
	 * @param server the server
	 */
	void responded(BackendServer server);

	/**
	 * Opens a connection to a server that is silent.
	 * @param server the server
	 * @return whether the server accepts it, so that its process has only paused; answers
	 * of the last moments are used again
	 */
	Mono<Boolean> acceptsConnections(BackendServer server);

	/**
	 * Returns whether this host has lost its links to most servers of a service that
	 * other hosts reach.
	 * @param service the service
	 * @return whether requests should be passed on to another host
	 */
	boolean isCutOff(String service);

	/**
	 * Waits until it is known whether this host is cut off.
	 * @param service the service
	 * @return completes when no check of the links to the service's servers is running
	 */
	Mono<Void> whenChecked(String service);

	/**
	 * Chooses a host that reaches the servers of a service.
	 * @param service the service
	 * @param excluded the hosts that must not be chosen
	 * @return the id of the host, or null if this host is not cut off or knows no other
	 */
	String chooseRelay(String service, Set<String> excluded);

	/**
	 * Returns whether a host passes requests on, as far as it has answered lately.
	 * @param service the service
	 * @param hostId the host
	 * @return whether it does
	 */
	boolean isRelay(String service, String hostId);

	/**
	 * Records that a host did not pass a request on.
	 * @param hostId the host
	 */
	void relayFailed(String hostId);

	/**
	 * Asks other hosts whether they reach a server.
	 * @param server the server
	 * @return whether one of them does; false if there are no others
	 */
	Mono<Boolean> isReachedByOthers(BackendServer server);

}
