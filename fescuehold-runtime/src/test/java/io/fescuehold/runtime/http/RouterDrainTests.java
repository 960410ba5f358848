package io.fescuehold.runtime.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a planned stop that ends while the router still reads requests from open
 * connections, which then get no response (LOST).
 */
@Timeout(20)
class RouterDrainTests {

	private static final int WAIT_MS = 5_000;

	private static final int CONNECTIONS = 40;

	private static final String CALL = request("/services/depot/x");

	private static String request(String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: r\r\nFescuehold-Team: t\r\n\r\n";
	}

	// The drain was complete while connections were open, and requests went on being read
	// from them until the process had ended.
	@Test
	void noConnectionIsLeftWhenTheDrainIsComplete() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(200, "{}"));
				TestRouter router = new TestRouter(server);
				Caller used = new Caller(router);
				Caller unused = new Caller(router)) {
			assertThat(used.call(CALL)).startsWith("HTTP/1.1 200");
			router.server().drain().block(Duration.ofMillis(WAIT_MS));
			assertThat(used.isClosed()).as("used connection").isTrue();
			assertThat(unused.isClosed()).as("unused connection").isTrue();
		}
	}

	// A caller was not told that its connection would end, and sent requests on it until
	// the process had ended.
	@Test
	void eachResponseDuringTheDrainIsTheLastOfItsConnection() throws Exception {
		CountDownLatch release = new CountDownLatch(1);
		try (ScriptedServer server = new ScriptedServer((request, connection) -> {
			release.await();
			connection.answer(200, "{}");
		});
				TestRouter router = new TestRouter(server);
				Caller running = new Caller(router);
				Caller refused = new Caller(router);
				Caller health = new Caller(router);
				Caller entry = new Caller(router)) {
			running.send(CALL);
			CallerDisconnectTests.await(() -> !server.received().isEmpty());
			CompletableFuture<Void> drained = router.server().drain().toFuture();
			assertThat(refused.call(CALL)).startsWith("HTTP/1.1 503").contains("DRAINING", "connection: close");
			assertThat(health.call(request("/healthz"))).startsWith("HTTP/1.1 503").contains("connection: close");
			assertThat(entry.call(request("/fescuehold/v1/entry"))).startsWith("HTTP/1.1 200")
				.contains("127.0.0.1:1", "connection: close");
			assertThat(drained).isNotDone();
			release.countDown();
			assertThat(running.readResponse()).startsWith("HTTP/1.1 200").contains("connection: close");
			drained.get(WAIT_MS, TimeUnit.MILLISECONDS);
		}
	}

	// Requests that were read at the end of the drain had no response.
	@Test
	void requestThatIsReadUntilTheEndOfTheDrainGetsItsResponse() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(200, "{}"));
				TestRouter router = new TestRouter(server);
				ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<Integer>> callers = new ArrayList<>();
			for (int number = 0; number < CONNECTIONS; number++) {
				int pauseMs = number % 7;
				callers.add(executor.submit(() -> sendUntilRefused(router, pauseMs)));
			}
			Thread.sleep(200);
			router.server().drain().block(Duration.ofMillis(WAIT_MS));
			long requests = router.metric("requests");
			router.server().stop();
			int responses = 0;
			for (Future<Integer> caller : callers) {
				responses += caller.get();
			}
			assertThat(responses).as("responses to the requests that were read").isEqualTo((int) requests);
		}
	}

	/** Returns the number of responses. */
	private static int sendUntilRefused(TestRouter router, int pauseMs) throws InterruptedException {
		int responses = 0;
		long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * WAIT_MS);
		while (System.nanoTime() < untilNs) {
			try (Caller caller = new Caller(router)) {
				boolean kept = true;
				while (kept && System.nanoTime() < untilNs) {
					String response = caller.call(request("/fescuehold/v1/entry"));
					responses++;
					kept = !response.contains("connection: close");
					Thread.sleep(pauseMs);
				}
			}
			catch (IOException ex) {
				return responses;
			}
		}
		return responses;
	}

	/**
	 * A connection that sends requests one after another.
	 *
	 * @param socket the connection
	 * @param in what the router sends
	 */
	private record Caller(Socket socket, BufferedReader in) implements AutoCloseable {

		Caller(TestRouter router) throws IOException {
			this(new Socket("127.0.0.1", router.server().port()));
		}

		private Caller(Socket socket) throws IOException {
			this(socket, new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)));
			socket.setSoTimeout(WAIT_MS);
			socket.setTcpNoDelay(true);
		}

		void send(String request) throws IOException {
			this.socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		}

		String call(String request) throws IOException {
			send(request);
			return readResponse();
		}

		/** Returns the status line, the headers in lower case and the body. */
		String readResponse() throws IOException {
			StringBuilder response = new StringBuilder(readLine());
			int length = 0;
			for (String line = readLine(); !line.isEmpty(); line = readLine()) {
				String header = line.toLowerCase();
				response.append('\n').append(header);
				if (header.startsWith("content-length: ")) {
					length = Integer.parseInt(header.substring("content-length: ".length()));
				}
			}
			char[] body = new char[length];
			for (int read = 0; read < length;) {
				int count = this.in.read(body, read, length - read);
				if (count < 0) {
					throw new IOException("The response is cut");
				}
				read += count;
			}
			return response.append('\n').append(body).toString();
		}

		private String readLine() throws IOException {
			String line = this.in.readLine();
			if (line == null) {
				throw new IOException("The connection was closed");
			}
			return line;
		}

		boolean isClosed() throws IOException {
			this.socket.setSoTimeout(1);
			return this.in.read() < 0;
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
