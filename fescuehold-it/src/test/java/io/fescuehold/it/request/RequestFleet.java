package io.fescuehold.it.request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.client.FescueholdClient;
import io.fescuehold.client.FescueholdClientBuilder;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.NonIdempotentRule;
import io.fescuehold.config.PolicySpec;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ServiceServerSpec;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.it.harness.Eventually;
import io.fescuehold.it.harness.FleetProcess;
import io.fescuehold.it.harness.FleetSettings;
import io.fescuehold.it.harness.ProcessFleet;
import io.fescuehold.standin.modelserver.ModelFaults;
import io.fescuehold.standin.proxy.FaultProxy;
import io.fescuehold.standin.service.ServiceFaults;

/**
 * Three daemons, each router and replica, in front of two model servers and two servers
 * of one service. Callers, peers and servers are reached through fault proxies.
 */
final class RequestFleet implements AutoCloseable {

	static final String SHARE = "depot";

	static final String TEAM = "clerks";

	static final String SURGE_TEAM = "surge";

	static final String MODEL = "standin";

	static final String SERVICE = "orders";

	static final List<String> ROUTERS = List.of("r1", "r2", "r3");

	static final List<String> MODEL_SERVERS = List.of("m1", "m2");

	static final List<String> SERVICE_SERVERS = List.of("s1", "s2");

	static final Duration START_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final Map<String, FleetProcess> processes = new LinkedHashMap<>();

	private final Map<String, Integer> ports = new LinkedHashMap<>();

	private final Map<String, FaultProxy> serverProxies = new TreeMap<>();

	private final Path folder;

	private final ProcessFleet fleet;

	private final FleetSettings settings;

	private final Set<String> stoppedGracefully = ConcurrentHashMap.newKeySet();

	private ShareConfig config;

	private RequestFleet(Path folder) {
		this.folder = folder;
		this.fleet = new ProcessFleet(folder);
		this.settings = new FleetSettings(folder, true);
	}

	/**
	 * Starts the fleet and waits until its configuration is in force at every router.
	 * @param folder the folder for settings, data and logs
	 * @return the running fleet
	 */
	static RequestFleet start(Path folder) {
		RequestFleet started = new RequestFleet(folder);
		try {
			started.startAll();
			return started;
		}
		catch (RuntimeException | AssertionError ex) {
			started.close();
			throw ex;
		}
	}

	private void startAll() {
		ROUTERS.forEach((id) -> this.settings.host(id, "domain-" + id, "router", "replica"));
		this.settings.share(SHARE, ROUTERS.toArray(String[]::new));
		ROUTERS.forEach((id) -> this.processes.put(id, this.fleet.startDaemon(id, this.settings.write(id))));
		MODEL_SERVERS.forEach(this::startServer);
		SERVICE_SERVERS.forEach(this::startServer);
		this.serverProxies.putAll(startServerProxies());
		ROUTERS.forEach((id) -> this.fleet.awaitReady(this.processes.get(id)));
		submit((policy) -> policy);
		awaitReady();
	}

	private Map<String, FaultProxy> startServerProxies() {
		Map<String, FaultProxy> started = new TreeMap<>();
		this.ports.forEach((id, port) -> started.put(id, FaultProxy.start(port)));
		return started;
	}

	private void startServer(String id) {
		List<String> args = new ArrayList<>();
		if (MODEL_SERVERS.contains(id)) {
			args.addAll(List.of("model-server", "--token-ms", "20", "--load-lag-ms", "0"));
		}
		else {
			args.addAll(List.of("service", "--log", executionLog(id).toString()));
		}
		args.addAll(List.of("--port", Integer.toString(this.ports.getOrDefault(id, 0))));
		FleetProcess process = this.fleet.startStandin(id, args.toArray(String[]::new));
		this.ports.put(id, process.port("port"));
		this.processes.put(id, process);
	}

	/**
	 * Submits the configuration under the next number and waits until it is accepted.
	 * @param change the change to the policy of the configuration
	 */
	void submit(UnaryOperator<PolicySpec> change) {
		ShareConfigBuilder builder = (this.config != null) ? ShareConfigBuilder.next(this.config) : initialConfig();
		PolicySpec policy = (this.config != null) ? this.config.policy()
				: PolicySpec.DEFAULT.withEntryAnswerMs(1_000).withLoadBound(2);
		this.config = builder.policy(change.apply(policy)).build();
		Eventually.isTrue("The configuration is accepted", START_TIMEOUT,
				() -> ROUTERS.stream().anyMatch(this::trySubmit));
	}

	/**
	 * Submits a configuration with another state of a server and waits until it is
	 * accepted.
	 * @param serverId the server
	 * @param state the state
	 */
	void submitServerState(String serverId, ServerState state) {
		this.config = ShareConfigBuilder.next(this.config).state(serverId, state).build();
		Eventually.isTrue("The state is accepted", START_TIMEOUT, () -> ROUTERS.stream().anyMatch(this::trySubmit));
	}

	private boolean trySubmit(String routerId) {
		try {
			return sendAdminRequest("POST", routerId, "/submit", ConfigJson.print(this.config)).statusCode() == 200;
		}
		catch (UncheckedIOException ex) {
			return false;
		}
	}

	private ShareConfigBuilder initialConfig() {
		ShareConfigBuilder builder = ShareConfigBuilder.share(SHARE)
			.number(1)
			.team(TEAM, new TeamSpec(4, 0))
			.team(SURGE_TEAM, new TeamSpec(1, 0));
		MODEL_SERVERS
			.forEach((id) -> builder.modelServer(id, new ModelServerSpec("127.0.0.1", this.serverProxies.get(id).port(),
					"domain-" + id, List.of(MODEL), ServerState.ACTIVE, true, true, 800, 16, 100_000)));
		TreeMap<String, ServiceServerSpec> servers = new TreeMap<>();
		SERVICE_SERVERS.forEach((id) -> servers.put(id, new ServiceServerSpec("127.0.0.1",
				this.serverProxies.get(id).port(), "domain-" + id, ServerState.ACTIVE, true)));
		return builder.service(SERVICE,
				new ServiceSpec(3_000, List.of(new NonIdempotentRule("POST", "/parts")), servers));
	}

	/**
	 * Waits until every router is healthy, has the latest configuration in force and
	 * reaches a leader.
	 */
	void awaitReady() {
		for (String id : ROUTERS) {
			Eventually.isTrue("Router " + id + " has configuration " + this.config.number(), START_TIMEOUT,
					() -> send("GET", "http://" + callerAddress(id) + "/healthz", null).statusCode() == 200
							&& json(sendAdminRequest("GET", id, "?stale=true", null)).path("number")
								.asLong() == this.config.number());
			Eventually.isTrue("Router " + id + " reaches a leader", START_TIMEOUT,
					() -> sendAdminRequest("GET", id, "", null).statusCode() == 200);
		}
	}

	/**
	 * Waits until every router has the latest configuration in force.
	 * @param timeout the longest time to wait for all routers together
	 */
	void awaitInForce(Duration timeout) {
		Eventually.isTrue("Configuration " + this.config.number() + " is in force at every router", timeout,
				() -> ROUTERS.stream()
					.allMatch((id) -> json(sendAdminRequest("GET", id, "?stale=true", null)).path("number")
						.asLong() == this.config.number()));
	}

	/**
	 * Removes all faults, restarts the processes that have exited and waits until the
	 * fleet is ready and the model servers are idle.
	 */
	void heal() {
		this.serverProxies.values().forEach(FaultProxy::pass);
		ROUTERS.forEach((id) -> {
			this.settings.callerProxy(id).pass();
			this.settings.reconnect(id);
		});
		List.copyOf(this.processes.keySet()).forEach((id) -> {
			if (!process(id).isAlive() || this.stoppedGracefully.remove(id)) {
				restart(id);
				return;
			}
			process(id).resume();
			if (!ROUTERS.contains(id)) {
				setFaults(id, (MODEL_SERVERS.contains(id)) ? ModelFaults.NONE : ServiceFaults.NONE);
			}
		});
		awaitReady();
		MODEL_SERVERS
			.forEach((id) -> Eventually.isTrue("Server " + id + " is idle", START_TIMEOUT, () -> !hasRequests(id)));
	}

	private void restart(String id) {
		process(id).kill();
		if (ROUTERS.contains(id)) {
			this.processes.put(id, this.fleet.startDaemonAndAwaitReady(id, this.settings.write(id)));
		}
		else {
			startServer(id);
		}
	}

	/**
	 * Stops a router gracefully; the next {@link #heal()} starts it again.
	 * @param id the router
	 * @param timeout the longest time to wait
	 * @return the exit code
	 */
	int stop(String id, Duration timeout) {
		this.stoppedGracefully.add(id);
		return process(id).stop(timeout);
	}

	FleetProcess process(String id) {
		return this.processes.get(id);
	}

	FaultProxy callerProxy(String routerId) {
		return this.settings.callerProxy(routerId);
	}

	FaultProxy serverProxy(String serverId) {
		return this.serverProxies.get(serverId);
	}

	FleetSettings settings() {
		return this.settings;
	}

	String callerAddress(String routerId) {
		return this.settings.callerAddress(routerId);
	}

	/**
	 * Creates a client that uses all routers as entry hosts.
	 * @param team the team
	 * @return the client
	 */
	FescueholdClient client(String team) {
		FescueholdClientBuilder builder = FescueholdClient.builder().team(team).serviceTimeoutMs(10_000);
		ROUTERS.forEach((id) -> builder.entry(callerAddress(id)));
		return builder.chatTimeoutMs(30_000).build();
	}

	/**
	 * Returns the router that the entry response names first for a chat.
	 * @param chat the chat
	 * @return the host id of the router
	 */
	String routerOf(String chat) {
		String address = json(send("GET", "http://" + callerAddress("r1") + "/fescuehold/v1/entry?chat=" + chat, null))
			.path("addresses")
			.path(0)
			.asText();
		return ROUTERS.stream().filter((id) -> callerAddress(id).equals(address)).findFirst().orElseThrow();
	}

	/**
	 * Returns the only model server with running or waiting requests.
	 * @return the server
	 * @throws IllegalStateException if not exactly one model server has any
	 */
	String busyModelServer() {
		List<String> busy = MODEL_SERVERS.stream().filter(this::hasRequests).toList();
		if (busy.size() != 1) {
			throw new IllegalStateException("Expected one busy model server, but the busy ones are " + busy);
		}
		return busy.getFirst();
	}

	boolean hasRequests(String serverId) {
		JsonNode load = json(send("GET", serverAdmin(serverId) + "/load", null));
		return load.path("runningRequests").asInt() + load.path("waitingRequests").asInt() > 0;
	}

	void setFaults(String serverId, Object faults) {
		int status = send("POST", serverAdmin(serverId) + "/standin/faults", toJson(faults)).statusCode();
		if (status != 200) {
			throw new IllegalStateException(
					"Server " + serverId + " responded with status " + status + " to the faults");
		}
	}

	void setServiceFaults(ServiceFaults faults) {
		SERVICE_SERVERS.forEach((id) -> setFaults(id, faults));
	}

	private String serverAdmin(String serverId) {
		return "http://127.0.0.1:" + process(serverId).port("adminPort");
	}

	/**
	 * Counts the executions of a call in the logs of all service servers.
	 * @param key the idempotency key
	 * @return the number of executions
	 */
	long executionCount(String key) {
		return SERVICE_SERVERS.stream()
			.map(this::executionLog)
			.filter(Files::exists)
			.flatMap((file) -> read(file).lines())
			.filter((line) -> line.contains("\"" + key + "\""))
			.count();
	}

	private Path executionLog(String serverId) {
		return this.folder.resolve(serverId + ".executions");
	}

	private static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Sends a request without the client library.
	 * @param method the method
	 * @param uri the URI
	 * @param body the body, or null
	 * @param headers alternating names and values of headers
	 * @return the response
	 */
	HttpResponse<String> send(String method, String uri, String body, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(uri))
			.timeout(REQUEST_TIMEOUT.multipliedBy((headers.length > 0) ? 10 : 1))
			.method(method,
					(body != null) ? HttpRequest.BodyPublishers.ofString(body) : HttpRequest.BodyPublishers.noBody());
		if (headers.length > 0) {
			request.headers(headers);
		}
		try {
			return this.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The request was interrupted", ex);
		}
	}

	private HttpResponse<String> sendAdminRequest(String method, String id, String path, String body) {
		return send(method, "http://" + this.settings.operatorAddress(id) + "/fescuehold/v1/shares/" + SHARE + path,
				body, "Authorization", "Bearer " + FleetSettings.token(SHARE));
	}

	static JsonNode json(HttpResponse<String> response) {
		try {
			return MAPPER.readTree(response.body());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static String toJson(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public void close() {
		this.fleet.close();
		this.settings.close();
		this.serverProxies.values().forEach(FaultProxy::close);
		this.http.close();
	}

}
