package io.fescuehold.runtime.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.quarantine.Attribution;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.core.streamversion.StreamRecord;
import io.fescuehold.runtime.backend.BackendOptions;
import io.fescuehold.runtime.discovery.ReachDirectory;
import io.fescuehold.runtime.discovery.StreamDirectory;
import io.fescuehold.runtime.http.ScriptedServer;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Several gateways in front of servers of different software versions. A server writes
 * its version into each event and continues any stream. Hosts can be killed, which loses
 * their memory but not their disk.
 */
final class VersionedFleet implements AutoCloseable {

	static final int EVENTS = 12;

	/** The part of a prompt that crashes the servers which read it. */
	static final String CRASHING_PART = "bad";

	private static final String SOUND_PARTS = "a,b,c";

	private static final String CRASHING_PARTS = "a," + CRASHING_PART + ",c";

	private static final long EVENT_INTERVAL_MS = 15;

	private static final long CRASH_DOWN_MS = 1_000;

	/** Long enough for a busy machine, so that no stream begins without its record. */
	private static final Duration RECORD_WAIT = Duration.ofSeconds(2);

	private Duration recordWait = RECORD_WAIT;

	private final Path folder;

	private final Map<String, Host> hosts = new ConcurrentHashMap<>();

	private final List<Backend> backends = new CopyOnWriteArrayList<>();

	private final AtomicInteger lastServer = new AtomicInteger();

	private final AtomicInteger lastRequest = new AtomicInteger();

	private final int hostsWithDisk;

	private final int relayPort;

	/** What the list of servers says of a version. */
	private final UnaryOperator<String> listedVersion;

	VersionedFleet(Path folder, int hostsWithDisk, UnaryOperator<String> listedVersion) {
		this.folder = folder;
		this.hostsWithDisk = hostsWithDisk;
		this.listedVersion = listedVersion;
		this.relayPort = FixedPorts.free();
	}

	void setRecordWait(Duration recordWait) {
		this.recordWait = recordWait;
	}

	Backend startServer(String version) {
		Backend backend = new Backend("i-" + this.lastServer.incrementAndGet(), version);
		this.backends.add(backend);
		return backend;
	}

	void remove(Backend backend) {
		this.backends.remove(backend);
	}

	List<Backend> backends() {
		return List.copyOf(this.backends);
	}

	Host startHost(int number, boolean firstStart) {
		Host host = new Host(number, firstStart);
		this.hosts.put(host.id, host);
		announceHosts();
		host.readList();
		return host;
	}

	void kill(Host host) {
		killAll(List.of(host));
	}

	/** Kills hosts at the same moment. */
	void killAll(List<Host> killed) {
		Mono.when(killed.stream().map(Host::kill).toList()).block(Duration.ofSeconds(10));
		killed.forEach((host) -> this.hosts.remove(host.id));
		announceHosts();
	}

	List<Host> hosts() {
		return List.copyOf(this.hosts.values());
	}

	Host host(int number) {
		return this.hosts.values().stream().filter((host) -> host.number == number).findFirst().orElseThrow();
	}

	void readLists() {
		this.hosts.values().forEach(Host::readList);
	}

	private void announceHosts() {
		List<HostRecord> records = this.hosts.values()
			.stream()
			.map((host) -> new HostRecord(host.id, "a", 1, (host.number < this.hostsWithDisk) ? host.id : null,
					HostState.READY))
			.toList();
		this.hosts.values().forEach((host) -> host.run(() -> host.belief.onHosts(records)));
	}

	String nextRequestId() {
		return "r-" + this.lastRequest.incrementAndGet();
	}

	/**
	 * Sends a request for a stream and reads what the host sends.
	 * @param host the host
	 * @param requestId the id of the attempt
	 * @param taken the stream so far, which gets the events
	 * @return the HTTP status, or 0 without an answer
	 */
	int stream(Host host, String requestId, TakenStream taken) {
		return send(host, "/resumable/x", requestId, taken);
	}

	/**
	 * Sends a request for a stream that shares no part of its prompt with others, so that
	 * any server may be chosen.
	 * @param host the host
	 * @return the HTTP status, or 0 without an answer
	 */
	int streamOfItsOwnPrompt(Host host) {
		String requestId = nextRequestId();
		return send(host, "/resumable/x", requestId, requestId, new TakenStream());
	}

	/**
	 * Sends a request for a stream whose prompt crashes each server that reads it.
	 * @param host the host
	 * @param requestId the id of the attempt
	 */
	void crashingStream(Host host, String requestId) {
		send(host, "/resumable/" + requestId, requestId, CRASHING_PARTS, new TakenStream());
	}

	/**
	 * Sends a request that must run once at most.
	 * @param host the host
	 * @param requestId the id of the attempt
	 * @return the HTTP status, or 0 without an answer
	 */
	int order(Host host, String requestId) {
		return send(host, "/order/x", requestId, new TakenStream());
	}

	/**
	 * Sends a request that may be repeated, and that every server fails.
	 * @param host the host
	 * @param requestId the id of the attempt
	 * @return the HTTP status, or 0 without an answer
	 */
	int failingLookup(Host host, String requestId) {
		return send(host, "/lookup/x", requestId, new TakenStream());
	}

	/**
	 * Sends a request for a stream and closes the connection after its first event.
	 * @param host the host
	 * @param requestId the id of the attempt
	 * @throws IOException if the host sends no event
	 */
	void leaveAfterFirstEvent(Host host, String requestId) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host.id, host.port), 1_000);
			write(socket, "/resumable/x", requestId, SOUND_PARTS, "");
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
			String line = in.readLine();
			while (line != null && !line.startsWith("data: ")) {
				line = in.readLine();
			}
		}
	}

	private static void write(Socket socket, String path, String requestId, String parts, String headers)
			throws IOException {
		socket.getOutputStream()
			.write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Request: " + requestId
					+ "\r\nX-Parts: " + parts + "\r\n" + headers + "Content-Length: 0\r\n\r\n")
				.getBytes(StandardCharsets.UTF_8));
	}

	private int send(Host host, String path, String requestId, TakenStream taken) {
		return send(host, path, requestId, SOUND_PARTS, taken);
	}

	private int send(Host host, String path, String requestId, String parts, TakenStream taken) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host.id, host.port), 1_000);
			socket.setSoTimeout(4_000);
			String resume = (taken.beganAs() != null)
					? "X-Resumes: " + taken.beganAs() + "\r\nLast-Event-ID: " + taken.position() + "\r\n" : "";
			write(socket, path, requestId, parts, resume);
			return taken.read(socket, requestId);
		}
		catch (IOException ex) {
			return 0;
		}
	}

	@Override
	public void close() {
		killAll(hosts());
		this.backends.forEach(Backend::end);
	}

	/**
	 * A server whose version is written into each event.
	 */
	final class Backend {

		private final String id;

		private final String version;

		/** One listener for each host, so that the links of a host can be cut. */
		private final Map<String, ScriptedServer> listeners = new ConcurrentHashMap<>();

		private volatile int breakAfter = Integer.MAX_VALUE;

		private volatile int events = EVENTS;

		private volatile boolean callerLeft;

		private volatile String extraHeaders = "";

		private Backend(String id, String version) {
			this.id = id;
			this.version = version;
		}

		private void serve(ScriptedServer.Received request, ScriptedServer.Connection connection) throws Exception {
			if (request.headers().getOrDefault("X-Parts", "").contains(CRASHING_PART)) {
				Thread.sleep(2 * EVENT_INTERVAL_MS);
				this.listeners.values().forEach((listener) -> listener.crash(CRASH_DOWN_MS));
				return;
			}
			if (request.target().startsWith("/lookup")) {
				connection.send("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nX-Signature: s\r\nX-Request: "
						+ request.headers().get("X-Request") + "\r\n\r\n");
				return;
			}
			connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\nX-Request: "
					+ request.headers().get("X-Request") + "\r\n" + this.extraHeaders + "\r\n");
			if (request.target().startsWith("/order")) {
				connection.send("0\r\n\r\n");
				return;
			}
			int after = Integer.parseInt(request.headers().getOrDefault("Last-Event-ID", "0"));
			for (int position = after + 1; position <= this.events; position++) {
				Thread.sleep(EVENT_INTERVAL_MS);
				if (after == 0 && position > this.breakAfter) {
					connection.reset();
					return;
				}
				try {
					connection.chunk("id: " + position + "\ndata: " + this.version + "\n\n");
				}
				catch (IOException ex) {
					this.callerLeft = true;
					throw ex;
				}
			}
			connection.send("0\r\n\r\n");
		}

		void breakAfter(int events) {
			this.breakAfter = events;
		}

		void addHeader(String name, String value) {
			this.extraHeaders += name + ": " + value + "\r\n";
		}

		void neverEnd() {
			this.events = Integer.MAX_VALUE;
		}

		boolean sawCallerLeave() {
			return this.callerLeft;
		}

		String version() {
			return this.version;
		}

		private ScriptedServer listener(String hostId) {
			return this.listeners.computeIfAbsent(hostId, (id) -> new ScriptedServer(this::serve));
		}

		void refuseConnections(Host host) {
			listener(host.id).stopListening();
		}

		void cut(Host host, long forMs) {
			listener(host.id).crash(forMs);
		}

		List<ScriptedServer.Received> receivedFrom(Host host) {
			return listener(host.id).received();
		}

		List<ScriptedServer.Received> received() {
			return this.listeners.values().stream().flatMap((listener) -> listener.received().stream()).toList();
		}

		void end() {
			this.listeners.values().forEach(ScriptedServer::close);
		}

	}

	/**
	 * One gateway.
	 */
	final class Host implements PeerTransport {

		private final String id;

		private final int number;

		private final LoopResources loops;

		private final Scheduler scheduler;

		private final GatewayBelief belief;

		private final StreamDirectory directory;

		private final ReachDirectory reach;

		private final GatewayServer server;

		private final int port;

		private final Disposable confirmations;

		private final Map<Class<?>, PeerHandler<?>> handlers = new ConcurrentHashMap<>();

		private volatile boolean killed;

		/** Whether the host reaches no other host. */
		private volatile boolean isolated;

		private Host(int number, boolean firstStart) {
			this.id = "127.0.5." + (number + 1);
			this.number = number;
			this.loops = LoopResources.create("versioned-" + number, 1, true);
			this.scheduler = new MonotonicScheduler(Schedulers.fromExecutorService(this.loops.onServer(false).next()));
			this.belief = new GatewayBelief(this.id, (submitted) -> TestGateway.config(),
					() -> this.scheduler.now(TimeUnit.MILLISECONDS), new SplittableRandom(number));
			this.directory = new StreamDirectory(this.id, this, this.scheduler, this.belief::hosts, List::of,
					this.belief::ageMs, this.belief::streamRetentionMs, this.belief.servedVersions(),
					(number < VersionedFleet.this.hostsWithDisk) ? VersionedFleet.this.folder.resolve(this.id) : null,
					new StreamDirectory.Waits(VersionedFleet.this.recordWait, RECORD_WAIT));
			this.reach = new ReachDirectory(this.id, this, this.scheduler, this.loops, this.belief::hosts,
					this.belief.servers(), () -> 0, new SplittableRandom(number));
			GatewayOptions options = new GatewayOptions(this.id, 0, VersionedFleet.this.relayPort, "a", 60_000, 1_000,
					0.2, 1_000, 10_000, true, 1_000, TestGateway.MEMORY_BYTES, BackendOptions.DEFAULT);
			this.server = new GatewayServer(options, this.belief, new TestProtocol(), this.directory, this.reach,
					this.scheduler, this.loops, new MetricRegistry(), new SplittableRandom(number));
			run(() -> {
				this.belief.onDocument(Documents.of(1, "{}".getBytes(StandardCharsets.UTF_8)));
				this.directory.start(firstStart);
				this.reach.start();
			});
			this.confirmations = this.scheduler.schedulePeriodically(() -> {
				if (!this.isolated) {
					this.belief.onConfirmed(this.scheduler.now(TimeUnit.MILLISECONDS));
				}
			}, 0, 100, TimeUnit.MILLISECONDS);
			this.server.start();
			this.port = this.server.port();
		}

		/**
		 * Records a stream.
		 * @return the name of the thread on which the stream goes on
		 */
		String threadAfterRecord() {
			return Mono.defer(() -> this.directory.record(new StreamRecord("recorded", "service", "v1")))
				.then(Mono.fromSupplier(() -> Thread.currentThread().getName()))
				.subscribeOn(this.scheduler)
				.block(Duration.ofSeconds(5));
		}

		boolean isCutOff() {
			return Mono.fromSupplier(() -> this.reach.isCutOff("service")).subscribeOn(this.scheduler).block();
		}

		List<Attribution> quarantined() {
			return Mono.fromSupplier(this.belief.quarantine()::attributions).subscribeOn(this.scheduler).block();
		}

		void isolate(boolean newIsolated) {
			this.isolated = newIsolated;
		}

		int number() {
			return this.number;
		}

		void readList() {
			List<BackendServer> list = VersionedFleet.this.backends.stream()
				.map((backend) -> new BackendServer(backend.id, "service",
						"127.0.0.1:" + backend.listener(this.id).port(), "a", 64, false,
						VersionedFleet.this.listedVersion.apply(backend.version)))
				.toList();
			run(() -> this.belief.onServers(new ServerList(list.hashCode(), list)));
		}

		private void run(Runnable action) {
			Mono.fromRunnable(action).subscribeOn(this.scheduler).block(Duration.ofSeconds(5));
		}

		// Without its event loop a host neither sends nor receives anything.
		private Mono<Void> kill() {
			Mono<Void> ended = Mono.fromRunnable(this.server::stop)
				.then(this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(2)));
			return ended.doOnSuccess((done) -> {
				this.killed = true;
				this.confirmations.dispose();
				this.directory.stop();
			});
		}

		@Override
		public void send(String hostId, PeerMessage message) {
			throw new UnsupportedOperationException();
		}

		@Override
		@SuppressWarnings("unchecked")
		public Mono<PeerMessage> request(String hostId, PeerMessage message, Duration timeout) {
			return Mono.defer(() -> {
				Host receiver = VersionedFleet.this.hosts.get(hostId);
				if (receiver == null || this.killed || this.isolated) {
					return Mono.<PeerMessage>error(new IOException("host " + hostId + " is down"));
				}
				PeerHandler<PeerMessage> handler = (PeerHandler<PeerMessage>) receiver.handlers.get(message.getClass());
				return handler.handle(this.id, message).filter((reply) -> !receiver.killed).cast(PeerMessage.class);
			}).timeout(timeout, this.scheduler);
		}

		@Override
		public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
			this.handlers.put(type, handler);
		}

	}

}
