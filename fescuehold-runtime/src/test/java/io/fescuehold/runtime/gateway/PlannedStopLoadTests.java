package io.fescuehold.runtime.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a planned stop while callers keep sending on kept-alive and on new connections:
 * requests that were forwarded to a server are answered, and refused requests never
 * reached a server.
 */
@Timeout(60)
class PlannedStopLoadTests {

	private static final int CALLERS = 16;

	/** The number of requests after which each phase of the test ends. */
	private static final int PHASE_REQUESTS = 100;

	private final Set<String> answered = ConcurrentHashMap.newKeySet();

	private final Set<String> refused = ConcurrentHashMap.newKeySet();

	private volatile boolean stopped;

	@Test
	void forwardedRequestsAreAnsweredAndRefusedOnesReachNoServer() throws InterruptedException {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			Thread.sleep(Math.floorMod(request.headers().get("X-Request").hashCode(), 40));
			connection.send("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + request.headers().get("X-Request")
					+ "\r\nContent-Length: 2\r\n\r\nok");
		}); TestGateway gateway = new TestGateway(server)) {
			List<Thread> callers = new ArrayList<>();
			for (int index = 0; index < CALLERS; index++) {
				String caller = "c" + index;
				callers.add(Thread.ofVirtual().start(() -> sendUntilStopped(gateway.server().port(), caller)));
			}
			await(this.answered, PHASE_REQUESTS);
			gateway.server().closeConnections();
			await(this.answered, 2 * PHASE_REQUESTS);
			gateway.server().refuseRequests();
			gateway.awaitNothingInFlight();
			await(this.refused, PHASE_REQUESTS);
			gateway.server().stop();
			this.stopped = true;
			for (Thread caller : callers) {
				caller.join();
			}
			Set<String> executed = new HashSet<>();
			server.received().forEach((request) -> executed.add(request.headers().get("X-Request")));
			assertThat(executed).hasSizeGreaterThan(2 * PHASE_REQUESTS);
			assertThat(this.answered).containsAll(executed);
			assertThat(this.refused).isNotEmpty().doesNotContainAnyElementsOf(executed);
		}
	}

	private static void await(Set<String> requests, int count) throws InterruptedException {
		while (requests.size() <= count) {
			Thread.sleep(10);
		}
	}

	private void sendUntilStopped(int port, String caller) {
		int index = 0;
		while (!this.stopped) {
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.setSoTimeout(5_000);
				BufferedReader in = new BufferedReader(
						new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
				boolean keepAlive = true;
				while (keepAlive && !this.stopped) {
					keepAlive = exchange(socket, in, caller + "-" + index++);
				}
			}
			catch (IOException ex) {
				// The port is closed, or the connection was closed before a response; the
				// test checks whether such a request has run.
				Thread.onSpinWait();
			}
		}
	}

	// Returns whether the connection can be reused.
	private boolean exchange(Socket socket, BufferedReader in, String id) throws IOException {
		socket.getOutputStream()
			.write(("GET /order/x HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Request: " + id + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
		String status = in.readLine();
		if (status == null) {
			return false;
		}
		boolean keepAlive = true;
		int length = 0;
		for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
			keepAlive &= !line.equalsIgnoreCase("connection: close");
			length = line.toLowerCase(Locale.ROOT).startsWith("content-length:")
					? Integer.parseInt(line.substring(15).strip()) : length;
		}
		for (int read = 0; read < length; read++) {
			if (in.read() < 0) {
				return false;
			}
		}
		(status.contains(" 200 ") ? this.answered : this.refused).add(id);
		return keepAlive;
	}

}
