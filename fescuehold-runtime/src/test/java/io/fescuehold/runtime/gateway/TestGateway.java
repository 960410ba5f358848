package io.fescuehold.runtime.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.drain.DrainSchedule;
import io.fescuehold.core.evacuation.Evacuations;
import io.fescuehold.core.limits.ServingPolicy;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.port.StreamVersions;
import io.fescuehold.core.routes.CallerLimits;
import io.fescuehold.core.routes.ColdStart;
import io.fescuehold.core.routes.Route;
import io.fescuehold.core.routes.RouteKind;
import io.fescuehold.core.routes.RoutedService;
import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.ServiceWeight;
import io.fescuehold.core.routes.TeamAccess;
import io.fescuehold.core.servers.BackendServer;
import io.fescuehold.core.servers.ServerList;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.streamversion.StreamRecord;
import io.fescuehold.core.streamversion.VersionSearch;
import io.fescuehold.core.streamversion.VersionVerdict;
import io.fescuehold.runtime.backend.BackendOptions;
import io.fescuehold.runtime.http.ScriptedServer;
import io.fescuehold.runtime.replica.MonotonicScheduler;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateway in front of scripted servers, with one route per kind.
 */
final class TestGateway implements AutoCloseable {

	static final int TIMEOUT_MS = 1_500;

	static final int SLOTS = 4;

	static final int OBJECTIVE_MS = 300;

	static final long MEMORY_BYTES = 24 << 20;

	private static final RoutingConfig WITHOUT_SERVICES = new RoutingConfig(2, List.of(), List.of(),
			CallerLimits.DEFAULT, List.of());

	private final LoopResources loops = LoopResources.create("test-gateway", 1, true);

	private final MetricRegistry metrics = new MetricRegistry();

	private final GatewayBelief belief;

	private final GatewayServer server;

	private final Scheduler scheduler;

	private final String address;

	private final List<BackendServer> list = new ArrayList<>();

	TestGateway(ScriptedServer... servers) {
		this(100, servers);
	}

	TestGateway(int retryExtra, ScriptedServer... servers) {
		this(retryExtra, Duration.ZERO, servers);
	}

	TestGateway(int retryExtra, Duration recordTime, ScriptedServer... servers) {
		this("127.0.0.1", 0, new SingleHostReach(null), retryExtra, recordTime, ports(servers));
	}

	private static int[] ports(ScriptedServer... servers) {
		return Arrays.stream(servers).mapToInt(ScriptedServer::port).toArray();
	}

	private TestGateway(String address, int relayPort, ServerReach reach, int retryExtra, Duration recordTime,
			int... ports) {
		this(address, relayPort, reach, retryExtra, recordTime, new ServingPolicy(1.5, 5, 0, 0, true), ColdStart.NONE,
				ports);
	}

	private TestGateway(String address, int relayPort, ServerReach reach, int retryExtra, Duration recordTime,
			ServingPolicy policy, ColdStart coldStart, int... ports) {
		this.address = address;
		this.scheduler = new MonotonicScheduler(Schedulers.fromExecutorService(this.loops.onServer(false).next()));
		this.belief = new GatewayBelief(address,
				(submitted) -> (submitted.length > 0) ? config(coldStart) : WITHOUT_SERVICES,
				() -> this.scheduler.now(TimeUnit.MILLISECONDS), new SplittableRandom(2));
		GatewayOptions options = new GatewayOptions(address, 0, relayPort, "a", 60_000, 1_000,
				(retryExtra > 0) ? 0.2 : 0, retryExtra, 10_000, true, 1_000, MEMORY_BYTES, BackendOptions.DEFAULT,
				policy, GatewayOptions.DEFAULT_MAX_CONNECTIONS);
		this.server = new GatewayServer(options, this.belief, new TestProtocol(),
				new SingleHostVersions(this.belief, recordTime, this.scheduler), reach, this.scheduler, this.loops,
				this.metrics, new SplittableRandom(1));
		this.belief.onDocument(Documents.of(1, "{}".getBytes(StandardCharsets.UTF_8)));
		this.belief.onConfirmed(this.scheduler.now(TimeUnit.MILLISECONDS));
		this.belief.onHosts(List.of(new HostRecord(address, "a", 1, null, HostState.READY)));
		for (int index = 0; index < ports.length; index++) {
			this.list
				.add(new BackendServer("i-" + index, "service", "127.0.0.1:" + ports[index], "a", SLOTS, false, "v1"));
		}
		this.belief.onServers(new ServerList(1, this.list));
		this.server.start();
	}

	/**
	 * Starts a gateway that is cut off from the servers.
	 * @param relayPort the port at which the other host takes requests that are passed on
	 * @param servers the servers
	 * @return the gateway
	 */
	static TestGateway cutOff(int relayPort, ScriptedServer... servers) {
		return new TestGateway("127.0.0.2", relayPort, new SingleHostReach("127.0.0.1"), 100, Duration.ZERO,
				ports(servers));
	}

	/**
	 * Starts a gateway that sends second copies.
	 * @param ratio the second copies for each request
	 * @param servers the servers
	 * @return the gateway
	 */
	static TestGateway hedging(double ratio, ScriptedServer... servers) {
		return new TestGateway("127.0.0.1", 0, new SingleHostReach(null), 100, Duration.ZERO,
				new ServingPolicy(0, 0, 0, ratio, true), ColdStart.NONE, ports(servers));
	}

	/**
	 * Starts a gateway with one server.
	 * @param port the port of the server on the loopback address
	 * @return the gateway
	 */
	static TestGateway withServerAt(int port) {
		return new TestGateway("127.0.0.1", 0, new SingleHostReach(null), 100, Duration.ZERO, port);
	}

	/**
	 * Starts a gateway in front of servers that limit their requests while they are cold.
	 * @param coldStart how the servers behave after a start
	 * @param servers the servers
	 * @return the gateway
	 */
	static TestGateway withColdStart(ColdStart coldStart, ScriptedServer... servers) {
		return new TestGateway("127.0.0.1", 0, new SingleHostReach(null), 100, Duration.ZERO,
				new ServingPolicy(1.5, 5, 0, 0, true), coldStart, ports(servers));
	}

	/**
	 * Applies a list in which the first servers are cold.
	 * @param count the number of cold servers
	 */
	void setCold(int count) {
		Mono.fromRunnable(() -> this.belief.onServers(new ServerList(2,
				IntStream.range(0, this.list.size())
					.mapToObj(
							(index) -> this.list.get(index).withColdMs((index < count) ? BackendServer.MAX_COLD_MS : 0))
					.toList())))
			.subscribeOn(this.scheduler)
			.block();
	}

	/**
	 * Records that the leader confirmed the configuration and the list of hosts.
	 */
	void confirm() {
		Mono.fromRunnable(() -> this.belief.onConfirmed(nowMs())).subscribeOn(this.scheduler).block();
	}

	static RoutingConfig config() {
		return config(ColdStart.NONE);
	}

	private static RoutingConfig config(ColdStart coldStart) {
		return new RoutingConfig(1, List.of(route("lookup", RouteKind.IDEMPOTENT, false, 2),
				route("order", RouteKind.NON_IDEMPOTENT, false, 1), route("resumable", RouteKind.STREAMING, true, 2),
				route("once", RouteKind.STREAMING, false, 1), patientRoute()),
				List.of(new RoutedService("service", "/", 10, null, coldStart)), CallerLimits.DEFAULT,
				List.of(new TeamAccess("team", List.of("key"), 0)));
	}

	private static Route patientRoute() {
		return new Route("patient", "h.example", "/patient/", RouteKind.STREAMING, true, 4 * TIMEOUT_MS, OBJECTIVE_MS,
				200, 0, List.of(new ServiceWeight("service", 1)), 2, false);
	}

	private static Route route(String name, RouteKind kind, boolean resumable, int attempts) {
		return new Route(name, "h.example", "/" + name + "/", kind, resumable, TIMEOUT_MS, OBJECTIVE_MS, 200, 0,
				List.of(new ServiceWeight("service", 1)), attempts, false);
	}

	// Moves the servers to failure domains, the first one to the first domain.
	void moveServers(String... domains) {
		Mono.fromRunnable(() -> {
			List<BackendServer> moved = new ArrayList<>();
			for (ServerState state : this.belief.servers().of("service")) {
				BackendServer server = state.server();
				moved.add(new BackendServer(server.id(), server.service(), server.address(), domains[moved.size()],
						SLOTS, false, server.version()));
			}
			this.belief.onServers(new ServerList(2, moved));
		}).subscribeOn(this.scheduler).block();
	}

	// Lets the servers run software versions, the first one the first version.
	void setVersions(String... versions) {
		Mono.fromRunnable(() -> {
			List<BackendServer> changed = new ArrayList<>();
			for (BackendServer server : this.list) {
				changed.add(new BackendServer(server.id(), server.service(), server.address(), server.failureDomain(),
						SLOTS, false, versions[changed.size()]));
			}
			this.belief.onServers(new ServerList(2, changed));
		}).subscribeOn(this.scheduler).block();
	}

	// Puts a configuration without services in force and forgets what is not used any
	// more.
	void removeServices() {
		Mono.fromRunnable(() -> {
			this.belief.onDocument(Documents.of(2, new byte[0]));
			this.server.closeUnusedPools();
		}).subscribeOn(this.scheduler).block();
	}

	void evacuate(long revision, String... domains) {
		Mono.fromRunnable(() -> this.belief.onEvacuations(new Evacuations(revision, Set.of(domains))))
			.subscribeOn(this.scheduler)
			.block();
	}

	GatewayServer server() {
		return this.server;
	}

	long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	void drain(DrainSchedule schedule) {
		Mono.fromRunnable(() -> this.server.drain(schedule)).subscribeOn(this.scheduler).block();
	}

	void endRequests() {
		Mono.fromRunnable(this.server::endRequests).subscribeOn(this.scheduler).block();
	}

	// The caller may receive the response before the gateway decrements the counter.
	void awaitNothingInFlight() {
		long untilNs = System.nanoTime() + Duration.ofSeconds(5).toNanos();
		while (this.server.inFlight() > 0) {
			assertThat(System.nanoTime()).as("%d requests in flight", this.server.inFlight()).isLessThan(untilNs);
			Thread.onSpinWait();
		}
	}

	// Runs on the thread that owns the gateway's state.
	String dump() {
		return Mono.fromSupplier(() -> this.server.dump().toString()).subscribeOn(this.scheduler).block();
	}

	long counter(String name) {
		return this.metrics.counter(name).getCount();
	}

	HttpClient client() {
		return HttpClient.create()
			.host(this.address)
			.port(this.server.port())
			.headers((headers) -> headers.set("Host", "h.example").set("X-Key", "key"));
	}

	Answer send(String path, String requestId, String body) {
		return request(path, requestId, body).block();
	}

	Mono<Answer> request(String path, String requestId, String body) {
		return request(path, requestId, body, Map.of());
	}

	Mono<Answer> request(String path, String requestId, String body, Map<String, String> extraHeaders) {
		return client().headers((headers) -> {
			headers.set("X-Request", requestId);
			extraHeaders.forEach(headers::set);
		})
			.post()
			.uri(path)
			.send((request, outbound) -> outbound.sendString(Mono.just(body)))
			.responseSingle((head, content) -> content.asString()
				.defaultIfEmpty("")
				.map((text) -> new Answer(head, text, false))
				.onErrorReturn(new Answer(head, "", true)));
	}

	@Override
	public void close() {
		this.server.stop();
		this.loops.disposeLater(Duration.ZERO, Duration.ofSeconds(2)).block();
	}

	/**
	 * Directory of a host without others, which decides by the versions that serve.
	 *
	 * @param belief the view of the host
	 * @param recordTime the time that a record takes
	 * @param scheduler the thread of the host
	 */
	private record SingleHostVersions(GatewayBelief belief, Duration recordTime,
			Scheduler scheduler) implements StreamVersions {

		@Override
		public Mono<Void> record(StreamRecord began) {
			return this.recordTime.isZero() ? Mono.empty() : Mono.delay(this.recordTime, this.scheduler).then();
		}

		@Override
		public Mono<VersionVerdict> find(String streamId, String service) {
			return Mono.fromSupplier(
					() -> new VersionSearch(0, this.belief.servedVersions().of(service, 0), true).confirmList(Set.of())
						.verdict(true));
		}

	}

	/**
	 * A host that knows no others, or only one that reaches the servers from which this
	 * one is cut off.
	 *
	 * @param relay the other host, or null
	 */
	private record SingleHostReach(String relay) implements ServerReach {

		@Override
		public void linkFailed(BackendServer server) {
		}

		@Override
		public void responded(BackendServer server) {
		}

		@Override
		public boolean isCutOff(String service) {
			return this.relay != null;
		}

		@Override
		public Mono<Boolean> acceptsConnections(BackendServer server) {
			return Mono.just(true);
		}

		@Override
		public Mono<Void> whenChecked(String service) {
			return Mono.empty();
		}

		@Override
		public String chooseRelay(String service, Set<String> excluded) {
			return excluded.contains(this.relay) ? null : this.relay;
		}

		@Override
		public boolean isRelay(String service, String hostId) {
			return hostId.equals(this.relay);
		}

		@Override
		public void relayFailed(String hostId) {
		}

		@Override
		public Mono<Boolean> isReachedByOthers(BackendServer server) {
			return Mono.just(false);
		}

	}

	/**
	 * A response.
	 *
	 * @param head the status and headers
	 * @param body the body, empty if it was truncated
	 * @param brokenOff whether the connection was closed before the end of the response
	 */
	record Answer(HttpClientResponse head, String body, boolean brokenOff) {

		int status() {
			return this.head.status().code();
		}

		String header(String name) {
			return this.head.responseHeaders().get(name);
		}

	}

}
