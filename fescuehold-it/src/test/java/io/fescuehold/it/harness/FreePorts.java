package io.fescuehold.it.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports below the ephemeral port range, so that no outgoing
 * connection takes a port before a process binds it.
 */
final class FreePorts {

	private static final int FIRST_PORT = 12_000;

	private static final int PORT_COUNT = 19_000;

	private static final AtomicInteger nextOffset = new AtomicInteger(ThreadLocalRandom.current().nextInt(PORT_COUNT));

	private FreePorts() {
	}

	/**
	 * Returns a port that nothing listens on and that was not returned before.
	 * @return the port
	 */
	static int find() {
		for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
			int port = FIRST_PORT + Math.floorMod(nextOffset.getAndIncrement(), PORT_COUNT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; the next one is tried.
			}
		}
		throw new IllegalStateException("No loopback port from " + FIRST_PORT + " on is free");
	}

}
