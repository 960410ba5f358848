package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports that stay the same while the hosts of a test come and go. They lie below those
 * that the kernel gives to other sockets, which could take them meanwhile.
 */
final class FixedPorts {

	private static final int FIRST = 12_000;

	private static final int LAST = 30_000;

	private FixedPorts() {
	}

	/**
	 * Finds a port.
	 * @return a port that is free at all addresses
	 */
	static int free() {
		while (true) {
			try (ServerSocket socket = new ServerSocket(ThreadLocalRandom.current().nextInt(FIRST, LAST))) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// Another process uses the port.
			}
		}
	}

}
