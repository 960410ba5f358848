package io.fescuehold.runtime.transport;

/**
 * Where a daemon accepts messages.
 *
 * @param address the IP number
 * @param port the port
 */
public record PeerAddress(String address, int port) {

}
