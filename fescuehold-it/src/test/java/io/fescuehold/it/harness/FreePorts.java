package io.fescuehold.it.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Finds free loopback ports below the range from which the system takes the ports of
 * outgoing connections, so that a port stays free until a process binds it.
 */
final class FreePorts {

	private static final int FIRST = 12_000;

	private static final int COUNT = 19_000;

	private static final AtomicInteger next = new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

	private FreePorts() {
	}

	/**
	 * Returns a port that nothing listens on and that was not returned before.
	 * @return the port
	 */
	static int find() {
		for (int tries = 0; tries < COUNT; tries++) {
			int port = FIRST + Math.floorMod(next.getAndIncrement(), COUNT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; the next one is tried.
			}
		}
		throw new IllegalStateException("No loopback port from " + FIRST + " on is free");
	}

}
