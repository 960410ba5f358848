package io.fescuehold.runtime.transport;

/**
 * The address on which a daemon accepts connections of its peers.
 *
 * @param address the IP address
 * @param port the port
 */
public record PeerAddress(String address, int port) {

}
