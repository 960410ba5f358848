package io.fescuehold.runtime.discovery;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.evacuation.EvacuationOrder;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.runtime.gateway.Documents;
import io.fescuehold.runtime.replica.AgreementTransport;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import io.fescuehold.runtime.replica.ReplicaStatus;
import io.fescuehold.runtime.transport.PeerAddress;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import io.fescuehold.runtime.transport.TransportOptions;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Fleet whose daemons listen on separate loopback addresses, in three failure domains.
 * The hosts with the lowest numbers have a disk.
 */
final class TestFleet implements AutoCloseable {

	static final Duration LIMIT = Duration.ofSeconds(15);

	final AtomicInteger listReads = new AtomicInteger();

	/** The ids of all stores that were reported to any host. */
	final Set<String> storeIds = ConcurrentHashMap.newKeySet();

	private final Path folder;

	private final int port;

	private final int diskCount;

	private final Map<String, Host> hosts = new TreeMap<>();

	private List<String> seeds = List.of(hostId(1), hostId(2), hostId(3));

	TestFleet(Path folder, int diskCount, int disklessCount) {
		this(folder, diskCount);
		for (int number = 1; number <= diskCount + disklessCount; number++) {
			start(number, true);
		}
	}

	// Creates a fleet without starting any host.
	TestFleet(Path folder, int diskCount) {
		this.folder = folder;
		this.diskCount = diskCount;
		this.port = freePort();
	}

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void setSeeds(int... numbers) {
		this.seeds = Arrays.stream(numbers).mapToObj(TestFleet::hostId).toList();
	}

	static String hostId(int number) {
		return "127.0.0." + (10 + number);
	}

	Host start(int number, boolean firstStart) {
		Host host = new Host(number, firstStart);
		this.hosts.put(hostId(number), host);
		return host;
	}

	// Creates the transport of a host that does not run a daemon.
	TcpPeerTransport transport(int number) {
		TcpPeerTransport transport = new TcpPeerTransport(
				new TransportOptions(hostId(number), new PeerAddress(hostId(number), this.port), Map.of()),
				new MetricRegistry(), Schedulers.parallel());
		transport.discoverPeers((hostId) -> new PeerAddress(hostId, this.port));
		return transport;
	}

	Host host(int number) {
		return this.hosts.get(hostId(number));
	}

	List<Host> hosts() {
		return List.copyOf(this.hosts.values());
	}

	void stop(int number) {
		this.hosts.remove(hostId(number)).stop();
	}

	void wipe(int number) {
		Path disk = this.folder.resolve(hostId(number));
		try (Stream<Path> files = Files.walk(disk)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	int leader() {
		for (Host host : this.hosts.values()) {
			if (host.leads()) {
				return host.number;
			}
		}
		return 0;
	}

	// Returns whether a host is a voter with its current store and no change is pending.
	boolean isSettledVoter(int number) {
		int leader = leader();
		if (leader == 0 || !(host(leader).replica() instanceof ReplicaStatus status)
				|| !(host(number).replica() instanceof ReplicaStatus own)) {
			return false;
		}
		return status.pendingChange() == null && status.members()
			.stream()
			.anyMatch((member) -> member.voter() && member.hostId().equals(hostId(number))
					&& member.storeId().equals(own.storeId()));
	}

	static void await(String description, BooleanSupplier condition) {
		long deadlineNs = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNs) {
				throw new AssertionError("Not within " + LIMIT.toSeconds() + " s: " + description);
			}
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException(ex);
			}
		}
	}

	static RoutingDocument document(long number, String content) {
		return Documents.of(number, content.getBytes(StandardCharsets.UTF_8));
	}

	SubmissionOutcome submit(int number, RoutingDocument document) {
		return acknowledged("submission " + document.number(), () -> host(number).fleet.submit(document));
	}

	Evacuations evacuate(int number, String domain, boolean begins) {
		return acknowledged("order for " + domain,
				() -> host(number).fleet.evacuate(new EvacuationOrder(domain, begins)));
	}

	// Retries until there is an outcome, as an operator does.
	private static <T> T acknowledged(String description, Supplier<Mono<T>> call) {
		AtomicReference<T> outcome = new AtomicReference<>();
		await(description, () -> {
			outcome.set(call.get().onErrorResume((error) -> Mono.empty()).block(LIMIT));
			return outcome.get() != null;
		});
		return outcome.get();
	}

	void awaitEvacuated(String... domains) {
		await("evacuation of " + List.of(domains) + " everywhere",
				() -> this.hosts.values()
					.stream()
					.allMatch((host) -> host.evacuations().domains().equals(Set.of(domains))));
	}

	void awaitInForce(long number) {
		await("configuration " + number + " in force everywhere",
				() -> this.hosts.values().stream().allMatch((host) -> host.number() == number));
	}

	@Override
	public void close() {
		List.copyOf(this.hosts.values()).forEach(Host::stop);
	}

	/**
	 * A daemon of the fleet.
	 */
	final class Host implements FleetListener {

		private final int number;

		private final LoopResources loops;

		private final TcpPeerTransport transport;

		private final Fleet fleet;

		private final MetricRegistry metrics = new MetricRegistry();

		private final List<Long> inForce = new ArrayList<>();

		private volatile long documentNumber;

		private volatile Evacuations evacuations = Evacuations.NONE;

		private volatile Evacuations atFirstConfirmation;

		private volatile ServerList servers = ServerList.EMPTY;

		private volatile List<HostRecord> live = List.of();

		private volatile HostState state = HostState.READY;

		private volatile long confirmedMs;

		private volatile boolean losesPulls;

		private volatile Set<String> partsRead = Set.of();

		private final Set<String> reportedParts = ConcurrentHashMap.newKeySet();

		Host(int number, boolean firstStart) {
			this.number = number;
			this.loops = LoopResources.create("test-fleet-" + number, 1, true);
			Scheduler scheduler = new MonotonicScheduler(
					Schedulers.fromExecutorService(this.loops.onServer(false).next()));
			this.transport = new TcpPeerTransport(new TransportOptions(hostId(number),
					new PeerAddress(hostId(number), TestFleet.this.port), Map.of()), this.metrics, scheduler,
					this.loops);
			this.transport.discoverPeers((hostId) -> new PeerAddress(hostId, TestFleet.this.port));
			Path disk = (number <= TestFleet.this.diskCount) ? TestFleet.this.folder.resolve(hostId(number)) : null;
			FleetOptions options = new FleetOptions(hostId(number), "domain-" + number % 3, TestFleet.this.port,
					TestFleet.this.seeds, firstStart, disk, 1, scheduler.now(TimeUnit.MILLISECONDS),
					FleetOptions.Timing.DEFAULT);
			this.fleet = new Fleet(options, new PullLoss(), new AgreementTransport(this.transport), scheduler,
					() -> Mono.fromSupplier(this::list), this, () -> this.state, this.metrics,
					new SplittableRandom(number), System.nanoTime());
			this.transport.start().block(LIMIT);
			this.fleet.start();
		}

		private List<BackendServer> list() {
			TestFleet.this.listReads.incrementAndGet();
			return List.of(new BackendServer("i-1", "service", "10.0.0.1:80", "a", 4, false, "v1"));
		}

		Fleet fleet() {
			return this.fleet;
		}

		void readPart(String part) {
			this.partsRead = Set.of(part);
		}

		Set<String> reportedParts() {
			return this.reportedParts;
		}

		long announcements() {
			return count("fleet.announcements");
		}

		long count(String counter) {
			return this.metrics.counter(counter).getCount();
		}

		long number() {
			return this.documentNumber;
		}

		List<Long> inForce() {
			return this.inForce;
		}

		Evacuations evacuations() {
			return this.evacuations;
		}

		// Returns null until a leader has confirmed a configuration.
		Evacuations evacuationsAtFirstConfirmation() {
			return this.atFirstConfirmation;
		}

		ServerList servers() {
			return this.servers;
		}

		List<HostRecord> live() {
			return this.live;
		}

		// Loses all pulls that this host sends from now on.
		void losePulls() {
			this.losesPulls = true;
		}

		void setState(HostState newState) {
			this.state = newState;
		}

		Object replica() {
			return ((Map<?, ?>) this.fleet.dump()).get("replica");
		}

		boolean leads() {
			return hostId(this.number).equals(((Map<?, ?>) this.fleet.dump()).get("leader"));
		}

		long confirmedMs() {
			return this.confirmedMs;
		}

		void stop() {
			this.transport.close();
			this.fleet.stop();
			this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(2)).block(LIMIT);
		}

		@Override
		public void onDocument(RoutingDocument document) {
			this.documentNumber = document.number();
			this.inForce.add(document.number());
		}

		@Override
		public void onConfirmed(long askedAtMs) {
			this.confirmedMs = askedAtMs;
			this.atFirstConfirmation = (this.atFirstConfirmation != null) ? this.atFirstConfirmation : this.evacuations;
		}

		@Override
		public void onEvacuations(Evacuations changed) {
			this.evacuations = changed;
		}

		@Override
		public void onServers(ServerList list) {
			this.servers = list;
		}

		@Override
		public void onHosts(List<HostRecord> hosts) {
			this.live = hosts;
			hosts.stream().filter(HostRecord::hasStore).forEach((host) -> TestFleet.this.storeIds.add(host.storeId()));
		}

		@Override
		public void onOtherRequests(Map<String, Integer> requests) {
		}

		@Override
		public Map<String, Integer> ownRequests() {
			return Map.of();
		}

		@Override
		public void onPartsRead(Map<String, Set<String>> partsByServer) {
			partsByServer.forEach((server, parts) -> this.reportedParts.addAll(parts));
		}

		@Override
		public Map<String, Set<String>> takePartsRead() {
			Set<String> parts = this.partsRead;
			this.partsRead = Set.of();
			return parts.isEmpty() ? Map.of() : Map.of("i-1", parts);
		}

		/** The transport of the host, which can lose pulls. */
		private final class PullLoss implements PeerTransport {

			@Override
			public void send(String hostId, PeerMessage message) {
				Host.this.transport.send(hostId, message);
			}

			@Override
			public Mono<PeerMessage> request(String hostId, PeerMessage message, Duration timeout) {
				return (Host.this.losesPulls && message instanceof SyncMessage.Pull)
						? Mono.error(new IllegalStateException("lost by the test"))
						: Host.this.transport.request(hostId, message, timeout);
			}

			@Override
			public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
				Host.this.transport.onMessage(type, handler);
			}

		}

	}

}
