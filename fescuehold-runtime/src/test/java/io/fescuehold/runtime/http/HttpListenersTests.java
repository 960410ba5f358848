package io.fescuehold.runtime.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a stopping process has read and does not answer, and
 * against responses that are lost because the process closes their connection (LOST).
 */
@Timeout(60)
class HttpListenersTests {

	private static final int WAIT_MS = 5_000;

	private static final int CONNECTIONS = 60;

	private static final int SLOW_MS = 150;

	private static final long STALL_NS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final String RESPONSE = "a".repeat(2_000);

	private final LoopResources loops = LoopResources.create("test-listeners", 2, true);

	private final HttpListeners listeners = new HttpListeners("test", new MetricRegistry());

	private final Set<String> handled = ConcurrentHashMap.newKeySet();

	private DisposableServer server;

	@AfterEach
	void stop() {
		this.listeners.closeNow();
		this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(2)).block();
	}

	private void start(int delayMs) {
		this.server = this.listeners.bind(this.listeners.newServer()
			.host("127.0.0.1")
			.port(0)
			.runOn(this.loops, false)
			.handle((request, response) -> respond(request, response, delayMs)));
	}

	private Mono<Void> respond(HttpServerRequest request, HttpServerResponse response, int delayMs) {
		if (request.uri().equals("/early")) {
			return response.keepAlive(false)
				.status(413)
				.header("Content-Length", String.valueOf(RESPONSE.length()))
				.sendString(Mono.just(RESPONSE))
				.then();
		}
		if (request.uri().equals("/slow")) {
			return response.header("Content-Length", String.valueOf(2 * RESPONSE.length()))
				.sendString(Flux.just(RESPONSE, RESPONSE).delayElements(Duration.ofMillis(SLOW_MS)),
						StandardCharsets.US_ASCII)
				.then();
		}
		return request.receive()
			.aggregate()
			.asString()
			.defaultIfEmpty("")
			.doOnSuccess((body) -> this.handled.add(request.uri()))
			.delayElement(Duration.ofMillis(delayMs))
			.then(Mono.defer(() -> response.header("Content-Length", String.valueOf(RESPONSE.length()))
				.sendString(Mono.just(RESPONSE))
				.then()));
	}

	private Caller connect() throws IOException {
		return new Caller(new Socket(InetAddress.getLoopbackAddress(), this.server.port()));
	}

	private void awaitDrained() throws InterruptedException {
		long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
		while (!this.listeners.isDrained()) {
			assertThat(System.nanoTime()).as("%s", this.listeners.report()).isLessThan(untilNs);
			Thread.sleep(1);
		}
	}

	private void awaitHandled(String uri) throws InterruptedException {
		long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
		while (!this.handled.contains(uri)) {
			assertThat(System.nanoTime()).as("%s is not handled", uri).isLessThan(untilNs);
			Thread.sleep(1);
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void requestThatWasReadGetsItsResponseWhenConnectionsAreDrained(long seed) throws Exception {
		start(2);
		List<Future<String>> callers = new ArrayList<>();
		try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
			for (int number = 0; number < CONNECTIONS; number++) {
				SplittableRandom random = new SplittableRandom(seed * CONNECTIONS + number);
				String name = "/" + number + "-";
				callers.add(executor.submit(sendUntilClosed(name, random)));
			}
			Thread.sleep(200);
			this.listeners.closeAfterResponses();
			Thread.sleep(20);
			this.listeners.drain();
			awaitDrained();
		}
		for (Future<String> caller : callers) {
			assertThat(this.handled).doesNotContain(caller.get());
		}
		assertThat(this.handled).hasSizeGreaterThan(CONNECTIONS);
		assertThat(this.listeners.report().faults()).isZero();
	}

	/** Returns the request without a response. */
	private Callable<String> sendUntilClosed(String name, SplittableRandom random) {
		return () -> {
			for (int number = 0;; number++) {
				String uri = name + number;
				try (Caller caller = connect()) {
					do {
						uri = name + number++;
						caller.send(uri, "body");
					}
					while (caller.readResponse() && pause(random.nextInt(5)));
				}
				catch (IOException ex) {
					return uri;
				}
			}
		};
	}

	private static boolean pause(int ms) throws InterruptedException {
		Thread.sleep(ms);
		return true;
	}

	@Test
	void connectionWithoutRequestIsClosedAndTheOthersAfterTheirResponse() throws Exception {
		start(400);
		try (Caller idle = connect(); Caller busy = connect()) {
			idle.send("/idle", "body");
			assertThat(idle.readResponse()).isTrue();
			busy.send("/busy", "body");
			awaitHandled("/busy");
			this.listeners.drain();
			assertThat(idle.isClosed()).isTrue();
			assertThat(this.listeners.isDrained()).isFalse();
			assertThat(busy.readResponse()).as("connection is kept").isFalse();
			awaitDrained();
			assertThat(this.listeners.report().closed()).containsEntry(ConnectionEnd.COMPLETE, 2L);
		}
	}

	// The connection was reset, because input was unread when it was closed, and the
	// response with it.
	@Test
	void responseReachesACallerThatIsStillSending() throws Exception {
		start(0);
		try (Caller caller = connect()) {
			caller.write("POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
			for (int part = 0; part < 40; part++) {
				caller.write("b".repeat(10_000));
				Thread.sleep(2);
			}
			assertThat(caller.readResponse()).as("connection is kept").isFalse();
			assertThat(caller.isClosed()).isTrue();
		}
		this.listeners.drain();
		awaitDrained();
		assertThat(this.listeners.report().faults()).isZero();
	}

	@Test
	void responseThatTheCallerHasNotReadKeepsTheConnectionOpen() throws Exception {
		start(0);
		try (Caller caller = connect()) {
			this.listeners.closeAfterResponses();
			caller.send("/last", "body");
			awaitHandled("/last");
			this.listeners.drain();
			Thread.sleep(100);
			assertThat(this.listeners.isDrained()).isFalse();
			assertThat(caller.readResponse()).as("connection is kept").isFalse();
		}
		awaitDrained();
	}

	// The second request was passed on, and its response had no connection left.
	@Test
	void requestThatWasReadBehindAnotherGetsItsResponse() throws Exception {
		start(200);
		try (Caller caller = connect()) {
			caller.write("POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
					+ "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
			awaitHandled("/first");
			this.listeners.closeAfterResponses();
			assertThat(caller.readResponse()).as("connection is kept").isTrue();
			assertThat(caller.readResponse()).as("connection is kept").isFalse();
			assertThat(this.handled).containsExactlyInAnyOrder("/first", "/second");
		}
	}

	// A request behind the head of a last response was passed on and could not be
	// answered.
	@Test
	void requestBehindALastResponseIsNotRun() throws Exception {
		start(0);
		try (Caller caller = connect()) {
			this.listeners.closeAfterResponses();
			caller.write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
			assertThat(caller.in().read()).isEqualTo('H');
			caller.send("/behind", "body");
			assertThat(new String(caller.in().readAllBytes(), StandardCharsets.US_ASCII)).endsWith(RESPONSE);
		}
		this.listeners.drain();
		awaitDrained();
		assertThat(this.handled).doesNotContain("/behind");
		assertThat(this.listeners.report().faults()).isZero();
	}

	// A response that had begun before the drain was reset, because the rest of its
	// request still arrived.
	@Test
	void responseToAnUnfinishedRequestIsWholeIfItEndsDuringTheDrain() throws Exception {
		start(0);
		try (Caller caller = connect()) {
			caller.write("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
			assertThat(caller.in().read()).isEqualTo('H');
			this.listeners.drain();
			for (int part = 0; part < 60; part++) {
				caller.write("b".repeat(10_000));
				Thread.sleep(10);
			}
			String rest = new String(caller.in().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(rest).endsWith(RESPONSE + RESPONSE);
		}
		awaitDrained();
	}

	// A signal during the start stopped the thread that the start waited for.
	@Test
	void drainMayBeCheckedWhileAPortIsBound() throws Exception {
		CountDownLatch checked = new CountDownLatch(1);
		DisposableServer bound = this.listeners
			.bind(this.listeners.newServer().host("127.0.0.1").port(0).runOn(this.loops, false).doOnBind((config) -> {
				this.loops.onServer(false).next().execute(() -> drainOnce(checked));
				assertThat(awaits(checked)).as("the drain was checked").isTrue();
			}).handle((request, response) -> Mono.empty()));
		awaitDrained();
		assertThat(bound.isDisposed()).isTrue();
	}

	private void drainOnce(CountDownLatch checked) {
		this.listeners.drain();
		if (!this.listeners.isDrained()) {
			checked.countDown();
		}
	}

	private static boolean awaits(CountDownLatch latch) {
		try {
			return latch.await(WAIT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	// Connections that were accepted while their thread was busy were reset.
	@Test
	void connectionsThatWaitForTheirThreadAreServed() throws Exception {
		start(0);
		List<Caller> callers = new ArrayList<>();
		this.loops.onServer(false).forEach((loop) -> loop.execute(() -> LockSupport.parkNanos(STALL_NS)));
		for (int number = 0; number < CONNECTIONS; number++) {
			Caller caller = connect();
			caller.send("/" + number, "body");
			callers.add(caller);
		}
		this.listeners.drain();
		awaitDrainedWhile(() -> {
			for (Caller caller : callers) {
				assertThat(caller.readResponse()).as("connection is kept").isFalse();
				caller.close();
			}
			return null;
		});
		assertThat(this.handled).hasSize(CONNECTIONS);
	}

	private void awaitDrainedWhile(Callable<Void> work) throws Exception {
		CompletableFuture<Void> drained = CompletableFuture.runAsync(() -> {
			try {
				awaitDrained();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		work.call();
		drained.get(WAIT_MS, TimeUnit.MILLISECONDS);
	}

	// A stop lasted as long as a caller that had sent an empty line, or a part of a head,
	// kept its connection.
	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "POST /part" })
	void bytesThatAreNoRequestDoNotHoldUpTheDrain(String bytes) throws Exception {
		start(0);
		try (Caller caller = connect()) {
			caller.send("/whole", "body");
			assertThat(caller.readResponse()).as("connection is kept").isTrue();
			caller.write(bytes);
			Thread.sleep(50);
			this.listeners.drain();
			awaitDrained();
		}
		assertThat(this.listeners.report().faults()).isZero();
	}

	@Test
	void requestThatIsCutIsCountedAsAFault() throws Exception {
		start(WAIT_MS);
		try (Caller caller = connect()) {
			caller.send("/never", "body");
			awaitHandled("/never");
			this.listeners.closeNow();
			awaitDrained();
		}
		assertThat(this.listeners.report().closed()).containsEntry(ConnectionEnd.UNANSWERED, 1L);
		assertThat(this.listeners.report().faults()).isEqualTo(1);
	}

	@Test
	void listenerThatIsBoundDuringTheDrainIsClosedAtOnce() throws Exception {
		this.listeners.drain();
		start(0);
		awaitDrained();
		assertThat(this.server.isDisposed()).isTrue();
	}

	/**
	 * A caller that reads every byte of the responses.
	 *
	 * @param socket the connection
	 * @param in what the server sends
	 */
	private record Caller(Socket socket, InputStream in) implements AutoCloseable {

		Caller(Socket socket) throws IOException {
			this(socket, new BufferedInputStream(socket.getInputStream()));
			socket.setSoTimeout(WAIT_MS);
			socket.setTcpNoDelay(true);
		}

		void send(String uri, String body) throws IOException {
			write("POST " + uri + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
		}

		void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		}

		/** Returns whether the connection is kept after the response. */
		boolean readResponse() throws IOException {
			boolean kept = true;
			String line = readLine();
			assertThat(line).startsWith("HTTP/1.1 ");
			for (; !line.isEmpty(); line = readLine()) {
				kept &= !line.equalsIgnoreCase("connection: close");
			}
			String body = new String(this.in.readNBytes(RESPONSE.length()), StandardCharsets.US_ASCII);
			if (body.length() < RESPONSE.length()) {
				throw new AssertionError("The response ends after " + body.length() + " bytes");
			}
			return kept;
		}

		private String readLine() throws IOException {
			StringBuilder line = new StringBuilder();
			for (int octet = this.in.read(); octet != '\n'; octet = this.in.read()) {
				if (octet < 0) {
					throw new IOException("The connection was closed");
				}
				line.append((char) octet);
			}
			return line.toString().strip();
		}

		boolean isClosed() throws IOException {
			return this.in.read() < 0;
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
