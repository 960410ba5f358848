package io.fescuehold.bench.quickstart;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.EndpointSettings;
import io.fescuehold.daemon.settings.FleetHostSettings;
import io.fescuehold.daemon.settings.OperatorSettings;
import io.fescuehold.daemon.settings.PeerSettings;
import io.fescuehold.daemon.settings.Role;
import io.fescuehold.daemon.settings.ShareSettings;
import io.fescuehold.daemon.settings.TokenSettings;

/**
 * Writes the settings of seven entry hosts, three of which hold replicas, the operator
 * token and the first configuration.
 */
final class FleetFiles {

	/** The number of entry hosts. */
	static final int HOSTS = 7;

	private static final int REPLICAS = 3;

	private static final int CALLER_PORT = 8101;

	private static final int PEER_PORT = 9101;

	private static final int OPERATOR_PORT = 7101;

	private static final String LOOPBACK = "127.0.0.1";

	private static final List<String> FAILURE_DOMAINS = List.of("a", "b", "c");

	private static final String TOKEN = "quick-start-token";

	private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	private final Path folder;

	private final Deployment deployment;

	/**
	 * Creates a writer.
	 * @param folder the folder to which the files are written
	 * @param deployment the deployment
	 */
	FleetFiles(Path folder, Deployment deployment) {
		this.folder = folder;
		this.deployment = deployment;
	}

	/**
	 * Writes all files.
	 * @throws IOException if a file cannot be written
	 */
	void write() throws IOException {
		Files.createDirectories(this.folder);
		for (int i = 1; i <= HOSTS; i++) {
			MAPPER.writeValue(this.folder.resolve(hostId(i) + ".json").toFile(), settings(i));
		}
		Files.writeString(this.folder.resolve("token"), TOKEN);
		Files.writeString(this.folder.resolve("config.json"), ConfigJson.print(this.deployment.config()));
		Files.write(this.folder.resolve("servers"), servers());
	}

	/**
	 * Returns the backend servers that the quick-start script starts.
	 * @return a line per server with its kind, id and port
	 */
	private List<String> servers() {
		List<String> lines = new ArrayList<>();
		this.deployment.config()
			.modelServers()
			.forEach((id, server) -> lines.add("model-server " + id + " " + server.port()));
		this.deployment.config()
			.services()
			.values()
			.forEach((service) -> service.servers()
				.forEach((id, server) -> lines.add("service " + id + " " + server.port())));
		return lines;
	}

	private DaemonSettings settings(int index) {
		List<FleetHostSettings> fleet = new ArrayList<>();
		for (int i = 1; i <= HOSTS; i++) {
			fleet.add(new FleetHostSettings(hostId(i), domain(i), address(CALLER_PORT, i), address(PEER_PORT, i),
					address(OPERATOR_PORT, i), roles(i)));
		}
		List<String> replicas = new ArrayList<>();
		for (int i = 1; i <= REPLICAS; i++) {
			replicas.add(hostId(i));
		}
		String share = this.deployment.config().share();
		return new DaemonSettings(hostId(index), domain(index), roles(index),
				this.folder.resolve("data").resolve(hostId(index)).toString(),
				new EndpointSettings(LOOPBACK, port(CALLER_PORT, index), null),
				new PeerSettings(LOOPBACK, port(PEER_PORT, index)),
				new OperatorSettings(LOOPBACK, port(OPERATOR_PORT, index), null,
						List.of(new TokenSettings("quick-start", sha256(TOKEN), share, TokenSettings.ADMIN))),
				fleet, List.of(new ShareSettings(share, replicas)), null, null, null);
	}

	private static List<Role> roles(int index) {
		return (index <= REPLICAS) ? List.of(Role.ROUTER, Role.REPLICA) : List.of(Role.ROUTER);
	}

	/**
	 * Returns the id of a host.
	 * @param index the index of the host, from 1
	 * @return the id
	 */
	static String hostId(int index) {
		return "entry-" + index;
	}

	/**
	 * Returns the address of a host for callers.
	 * @param index the index of the host, from 1
	 * @return the address as {@code ip:port}
	 */
	static String callerAddress(int index) {
		return address(CALLER_PORT, index);
	}

	/**
	 * Returns the address of a host's administration API.
	 * @param index the index of the host, from 1
	 * @return the address as {@code ip:port}
	 */
	static String operatorAddress(int index) {
		return address(OPERATOR_PORT, index);
	}

	private static String domain(int index) {
		return FAILURE_DOMAINS.get((index - 1) % FAILURE_DOMAINS.size());
	}

	private static int port(int firstPort, int index) {
		return firstPort + index - 1;
	}

	private static String address(int firstPort, int index) {
		return LOOPBACK + ":" + port(firstPort, index);
	}

	private static String sha256(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

}
