package io.fescuehold.it.control;

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
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.it.harness.Eventually;
import io.fescuehold.it.harness.FleetProcess;
import io.fescuehold.it.harness.FleetSettings;
import io.fescuehold.it.harness.ProcessFleet;
import io.fescuehold.standin.proxy.Direction;

/**
 * A fleet of daemons that are all routers, with access to their administration API and
 * with fault injection.
 */
final class ControlFleet implements AutoCloseable {

	/** The longest time until an accepted change is in force at every router. */
	static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(20);

	/** Longer than a daemon searches for a leader. */
	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(12);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_WEIGHT = 1_000;

	private final Map<String, FleetProcess> daemons = new ConcurrentHashMap<>();

	private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final FleetSettings settings;

	private final ProcessFleet processes;

	private final List<String> hostIds;

	/**
	 * Starts all daemons.
	 * @param folder the folder for all files
	 * @param settings the settings with all hosts and shares
	 * @param hostIds the hosts
	 */
	ControlFleet(Path folder, FleetSettings settings, List<String> hostIds) {
		this.settings = settings;
		this.hostIds = hostIds;
		this.processes = new ProcessFleet(folder);
		startAll();
	}

	/**
	 * Starts a fleet with three replicas of one share and further routers.
	 * @param folder the folder for all files
	 * @param settings the settings without hosts
	 * @param routers the number of routers without a replica
	 * @return the fleet, with replicas a, b and c of share north and routers r1, r2, …
	 */
	static ControlFleet north(Path folder, FleetSettings settings, int routers) {
		List<String> hostIds = new ArrayList<>(List.of("a", "b", "c"));
		hostIds.forEach((hostId) -> settings.host(hostId, "zone-" + hostId, "router", "replica"));
		for (int i = 1; i <= routers; i++) {
			settings.host("r" + i, "zone-a", "router");
			hostIds.add("r" + i);
		}
		settings.share("north", "a", "b", "c");
		return new ControlFleet(folder, settings, hostIds);
	}

	List<String> hostIds() {
		return this.hostIds;
	}

	FleetProcess daemon(String hostId) {
		return this.daemons.get(hostId);
	}

	void startAll() {
		this.hostIds.forEach(this::startWithoutWaiting);
		this.hostIds.forEach(this::awaitReady);
	}

	void awaitReady(String hostId) {
		this.processes.awaitReady(daemon(hostId));
	}

	void startWithoutWaiting(String hostId) {
		this.daemons.put(hostId, this.processes.startDaemon(hostId, this.settings.write(hostId)));
	}

	void start(String hostId) {
		startWithoutWaiting(hostId);
		awaitReady(hostId);
	}

	void kill(String hostId) {
		daemon(hostId).kill();
	}

	void deleteData(String hostId) {
		try (Stream<Path> files = Files.walk(this.settings.dataFolder(hostId))) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void isolate(String hostId) {
		this.settings.isolate(hostId);
	}

	void reconnect(String hostId) {
		this.settings.reconnect(hostId);
	}

	/**
	 * Drops the bytes that a host sends to its peers, or those that it receives from
	 * them; connections stay open.
	 * @param hostId the host id
	 * @param sent true to drop sent bytes, false to drop received bytes
	 */
	void dropPeerTraffic(String hostId, boolean sent) {
		otherHosts(hostId).forEach((other) -> {
			this.settings.peerProxy(hostId, other).silent(sent ? Direction.TO_SERVER : Direction.TO_CLIENT);
			this.settings.peerProxy(other, hostId).silent(sent ? Direction.TO_CLIENT : Direction.TO_SERVER);
		});
	}

	List<String> otherHosts(String hostId) {
		return this.hostIds.stream().filter((other) -> !other.equals(hostId)).toList();
	}

	/**
	 * Creates a small configuration whose content depends on the number and the operator.
	 * @param share the share
	 * @param number the number
	 * @param operator the operator
	 * @return the configuration
	 */
	static ShareConfig createConfig(String share, long number, String operator) {
		return ShareConfigBuilder.share(share)
			.number(number)
			.team(share + "-" + operator, new TeamSpec(1 + (int) (number % MAX_WEIGHT), 0))
			.build();
	}

	CompletableFuture<Reply> send(String hostId, String method, String path, byte[] body, String token,
			Duration timeout) {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + this.settings.operatorAddress(hostId) + "/fescuehold/v1/" + path))
			.timeout(timeout)
			.header("Authorization", "Bearer " + FleetSettings.token(token))
			.method(method, HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		return this.http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).thenApply(ControlFleet::reply);
	}

	private static Reply reply(HttpResponse<byte[]> response) {
		try {
			JsonNode body = MAPPER.readTree(response.body());
			return new Reply(response.statusCode(), response.headers().firstValueAsLong("Fescuehold-Number").orElse(-1),
					response.headers().firstValue("Fescuehold-Digest").orElse(""), body);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	Reply get(String hostId, String path) {
		return send(hostId, "GET", path, new byte[0], "*", REQUEST_TIMEOUT).join();
	}

	/**
	 * Reads the configuration in force at a router, without a leader.
	 * @param hostId the router
	 * @param share the share
	 * @return the configuration, with status 404 if the router has none
	 * @throws CompletionException if the router does not respond within a second
	 */
	Reply readInForce(String hostId, String share) {
		return send(hostId, "GET", "shares/" + share + "?stale=true", new byte[0], "*", Duration.ofSeconds(1)).join();
	}

	/**
	 * Reads the latest accepted configuration number of a share.
	 * @param share the share
	 * @return the number
	 */
	long latestNumber(String share) {
		return Eventually
			.get("Share " + share + " is read", IN_FORCE_TIMEOUT, () -> get(firstLiveHost(), "shares/" + share),
					Reply::isAccepted)
			.number();
	}

	private String firstLiveHost() {
		return this.hostIds.stream().filter((hostId) -> daemon(hostId).isAlive()).findFirst().orElseThrow();
	}

	CompletableFuture<Reply> submit(String hostId, String operator, ShareConfig config) {
		return send(hostId, "POST", "shares/" + config.share() + "/submit", ConfigJson.canonicalBytes(config), operator,
				REQUEST_TIMEOUT);
	}

	/**
	 * Submits a configuration repeatedly until it is accepted, as an operator does when
	 * responses are lost.
	 * @param hostIds the daemons to send it to in turn
	 * @param config the configuration
	 * @return the response
	 * @throws AssertionError if the configuration conflicts with another one, or is not
	 * accepted within {@link #IN_FORCE_TIMEOUT}
	 */
	Reply submitUntilAccepted(Collection<String> hostIds, ShareConfig config) {
		List<String> turn = List.copyOf(hostIds);
		int[] attempts = new int[1];
		Reply reply = Eventually.get(config.share() + " " + config.number() + " is accepted", IN_FORCE_TIMEOUT,
				() -> submit(turn.get(attempts[0]++ % turn.size()), config.share(), config).join(),
				(answer) -> answer.isAccepted() || answer.isConflict());
		if (!reply.isAccepted()) {
			throw new AssertionError(config.share() + " " + config.number() + " was rejected: " + reply);
		}
		return reply;
	}

	/**
	 * Waits until a configuration number is in force at all given routers with the same
	 * digest.
	 * @param hostIds the routers
	 * @param share the share
	 * @param number the number
	 */
	void awaitInForce(Collection<String> hostIds, String share, long number) {
		Eventually.isTrue(share + " " + number + " is in force at " + hostIds, IN_FORCE_TIMEOUT,
				() -> hostIds.stream()
					.map((hostId) -> readInForce(hostId, share))
					.map((reply) -> reply.number() + " " + reply.digest())
					.distinct()
					.toList()
					.equals(List.of(number + " " + readInForce(hostIds.iterator().next(), share).digest())));
	}

	/**
	 * Returns the leader of a share, as named by at least two of its replicas.
	 * @param share the share
	 * @return the host id of the leader
	 */
	String leader(String share) {
		return Eventually.get("Share " + share + " has a leader", IN_FORCE_TIMEOUT,
				() -> leaderNamedByTwoReplicas(share), (hostId) -> !hostId.isEmpty() && daemon(hostId).isAlive());
	}

	private String leaderNamedByTwoReplicas(String share) {
		List<String> named = new ArrayList<>();
		get(firstLiveHost(), "status").body().path("shares").path(share).path("replicas").forEach((replica) -> {
			if (replica.path("leaderHostId").isTextual()) {
				named.add(replica.path("leaderHostId").asText());
			}
		});
		return named.stream()
			.filter((hostId) -> named.indexOf(hostId) != named.lastIndexOf(hostId))
			.findFirst()
			.orElse("");
	}

	CompletableFuture<Reply> replaceReplica(String share, String lost, String with, String requestId) {
		String body = "{\"requestId\":\"%s\",\"kind\":\"replace\",\"hostId\":\"%s\",\"replacedHostId\":\"%s\"}"
			.formatted(requestId, with, lost);
		return send(firstLiveHost(), "POST", "shares/" + share + "/replicas", body.getBytes(), share, IN_FORCE_TIMEOUT);
	}

	@Override
	public void close() {
		this.processes.close();
		this.settings.close();
		this.http.shutdownNow();
	}

}
