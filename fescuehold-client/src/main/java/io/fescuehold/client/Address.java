package io.fescuehold.client;

import java.net.InetSocketAddress;

/**
 * The address of a router.
 *
 * @param host the IP address
 * @param port the port
 */
record Address(String host, int port) {

	private static final int MAX_PORT = 65_535;

	/**
	 * Parses an address.
	 * @param text {@code ip:port}, with an IPv6 address in brackets
	 * @return the address
	 */
	static Address parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 1) {
			throw new IllegalArgumentException("Address \"" + text + "\" has no port; write ip:port");
		}
		String host = text.substring(0, colon);
		if (host.startsWith("[") && host.endsWith("]")) {
			host = host.substring(1, host.length() - 1);
		}
		try {
			int port = Integer.parseInt(text.substring(colon + 1));
			if (port > 0 && port <= MAX_PORT) {
				return new Address(host, port);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a port that is out of range.
		}
		throw new IllegalArgumentException("Address \"" + text + "\" has no valid port; use 1 to 65535");
	}

	InetSocketAddress socketAddress() {
		return InetSocketAddress.createUnresolved(this.host, this.port);
	}

	@Override
	public String toString() {
		return this.host.contains(":") ? "[" + this.host + "]:" + this.port : this.host + ":" + this.port;
	}

}
