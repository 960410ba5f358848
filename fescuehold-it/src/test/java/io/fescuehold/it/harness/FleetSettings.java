package io.fescuehold.it.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fescuehold.standin.proxy.Direction;
import io.fescuehold.standin.proxy.FaultProxy;

/**
 * Writes the settings files of a fleet on the loopback address. With proxies, each
 * connecting daemon has one fault proxy for each peer, and callers have one for each
 * router.
 */
public final class FleetSettings implements AutoCloseable {

	private static final String ADDRESS = "127.0.0.1";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Map<String, Host> hosts = new LinkedHashMap<>();

	private final Map<String, List<String>> shares = new LinkedHashMap<>();

	private final Map<String, String> operators = new LinkedHashMap<>();

	private final Map<String, FaultProxy> peerProxies = new LinkedHashMap<>();

	private final Map<String, FaultProxy> callerProxies = new LinkedHashMap<>();

	private final ObjectNode timing = MAPPER.createObjectNode();

	private final Path folder;

	private final boolean proxied;

	private String hostListUrl;

	/**
	 * Creates settings without hosts.
	 * @param folder receives the settings files and the data folders
	 * @param proxied whether peers and callers are reached through proxies
	 */
	public FleetSettings(Path folder, boolean proxied) {
		this.folder = folder;
		this.proxied = proxied;
	}

	/**
	 * Adds a host.
	 * @param hostId the host id
	 * @param failureDomain the failure domain
	 * @param roles router, replica or both
	 * @return these settings
	 */
	public FleetSettings host(String hostId, String failureDomain, String... roles) {
		Host host = new Host(hostId, failureDomain, List.of(roles), FreePorts.find(), FreePorts.find(),
				FreePorts.find());
		this.hosts.put(hostId, host);
		if (this.proxied) {
			this.callerProxies.put(hostId, FaultProxy.start(host.callerPort()));
		}
		return this;
	}

	/**
	 * Adds a share.
	 * @param share the share
	 * @param replicaHostIds the hosts of its initial replicas
	 * @return these settings
	 */
	public FleetSettings share(String share, String... replicaHostIds) {
		this.shares.put(share, List.of(replicaHostIds));
		return this;
	}

	/**
	 * Adds an administrator of a share. Its token is {@code token-NAME}.
	 * @param name the name, which differs from the names of the shares
	 * @param share the share
	 * @return these settings
	 */
	public FleetSettings operator(String name, String share) {
		this.operators.put(name, share);
		return this;
	}

	/**
	 * Sets a timing parameter of the agreement groups.
	 * @param name the name in the settings
	 * @param value the value, in the unit that the name states
	 * @return these settings
	 */
	public FleetSettings timing(String name, int value) {
		this.timing.put(name, value);
		return this;
	}

	/**
	 * Sets the URL of the host list.
	 * @param url the URL
	 * @return these settings
	 */
	public FleetSettings hostListUrl(String url) {
		this.hostListUrl = url;
		return this;
	}

	/**
	 * Writes the settings file of a host.
	 * @param hostId the host id
	 * @return the file
	 */
	public Path write(String hostId) {
		Host host = requireHost(hostId);
		ObjectNode root = MAPPER.createObjectNode();
		root.put("hostId", hostId).put("failureDomain", host.failureDomain());
		host.roles().forEach(root.putArray("roles")::add);
		root.put("dataFolder", dataFolder(hostId).toString());
		root.putObject("callers").put("address", ADDRESS).put("port", host.callerPort());
		root.putObject("peers").put("address", ADDRESS).put("port", host.peerPort());
		ArrayNode tokens = root.putObject("operators")
			.put("address", ADDRESS)
			.put("port", host.operatorPort())
			.putArray("tokens");
		this.shares.keySet().forEach((share) -> addToken(tokens, share, share, "admin"));
		this.operators.forEach((name, share) -> addToken(tokens, name, share, "admin"));
		addToken(tokens, "*", "*", "viewer");
		ArrayNode fleet = root.putArray("fleet");
		this.hosts.values().forEach((other) -> addHost(fleet, host, other));
		ArrayNode shareNodes = root.putArray("shares");
		this.shares.forEach((share, replicas) -> replicas
			.forEach(shareNodes.addObject().put("share", share).putArray("replicaHostIds")::add));
		if (this.hostListUrl != null) {
			root.put("hostListUrl", this.hostListUrl);
		}
		if (!this.timing.isEmpty()) {
			root.set("timing", this.timing);
		}
		root.put("seed", hostId.hashCode());
		return writeFile(hostId + ".json", root.toPrettyString());
	}

	private void addHost(ArrayNode fleet, Host self, Host other) {
		ObjectNode node = fleet.addObject();
		node.put("hostId", other.hostId()).put("failureDomain", other.failureDomain());
		node.put("callerAddress", callerAddress(other.hostId()));
		node.put("peerAddress", ADDRESS + ":" + peerPort(self, other));
		node.put("operatorAddress", operatorAddress(other.hostId()));
		other.roles().forEach(node.putArray("roles")::add);
	}

	private int peerPort(Host self, Host other) {
		return (this.proxied && !self.equals(other)) ? peerProxy(self.hostId(), other.hostId()).port()
				: other.peerPort();
	}

	private static void addToken(ArrayNode tokens, String name, String share, String role) {
		String token = token(name);
		tokens.addObject().put("name", token).put("sha256", sha256(token)).put("share", share).put("role", role);
	}

	private static String sha256(String text) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing", ex);
		}
	}

	/**
	 * Returns the bearer token of a share's administrator, or of a viewer of all shares.
	 * @param share the share, or {@code *}
	 * @return the token
	 */
	public static String token(String share) {
		return "token-" + share;
	}

	/**
	 * Writes the bearer token of a share's administrator to a file.
	 * @param share the share, or {@code *}
	 * @return the file
	 */
	public Path tokenFile(String share) {
		return writeFile("token-" + (("*".equals(share)) ? "all" : share), token(share));
	}

	/**
	 * Writes a file into the folder of the fleet.
	 * @param name the name
	 * @param content the content
	 * @return the file
	 */
	public Path writeFile(String name, String content) {
		try {
			Files.createDirectories(this.folder);
			return Files.writeString(this.folder.resolve(name), content);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns the data folder of a host.
	 * @param hostId the host id
	 * @return the folder, which may not exist yet
	 */
	public Path dataFolder(String hostId) {
		return this.folder.resolve("data-" + hostId);
	}

	/**
	 * Returns the address at which callers reach a router.
	 * @param hostId the host id
	 * @return {@code ip:port}
	 */
	public String callerAddress(String hostId) {
		int port = (this.proxied) ? this.callerProxies.get(hostId).port() : requireHost(hostId).callerPort();
		return ADDRESS + ":" + port;
	}

	/**
	 * Returns the address of a host's administration API.
	 * @param hostId the host id
	 * @return {@code ip:port}
	 */
	public String operatorAddress(String hostId) {
		return ADDRESS + ":" + requireHost(hostId).operatorPort();
	}

	/**
	 * Returns the proxy through which one host reaches another.
	 * @param from the connecting host
	 * @param to the other host
	 * @return the proxy
	 */
	public synchronized FaultProxy peerProxy(String from, String to) {
		return this.peerProxies.computeIfAbsent(from + ">" + to, (key) -> FaultProxy.start(requireHost(to).peerPort()));
	}

	/**
	 * Returns the proxy through which callers reach a router.
	 * @param hostId the host id
	 * @return the proxy
	 */
	public FaultProxy callerProxy(String hostId) {
		return this.callerProxies.get(hostId);
	}

	/**
	 * Drops all bytes between a host and its peers, in both directions. The connections
	 * stay open.
	 * @param hostId the host id
	 */
	public void isolate(String hostId) {
		peerProxiesOf(hostId).forEach((proxy) -> proxy.silent(Direction.BOTH));
	}

	/**
	 * Stops dropping bytes between a host and its peers. Connections that have lost bytes
	 * stay silent.
	 * @param hostId the host id
	 */
	public void reconnect(String hostId) {
		peerProxiesOf(hostId).forEach(FaultProxy::pass);
	}

	private List<FaultProxy> peerProxiesOf(String hostId) {
		return this.hosts.keySet()
			.stream()
			.filter((other) -> !other.equals(hostId))
			.flatMap((other) -> java.util.stream.Stream.of(peerProxy(hostId, other), peerProxy(other, hostId)))
			.toList();
	}

	private Host requireHost(String hostId) {
		Host host = this.hosts.get(hostId);
		if (host == null) {
			throw new IllegalArgumentException("Host " + hostId + " is not in the fleet; add it with host()");
		}
		return host;
	}

	@Override
	public void close() {
		this.peerProxies.values().forEach(FaultProxy::close);
		this.callerProxies.values().forEach(FaultProxy::close);
	}

	/**
	 * A host and its ports.
	 *
	 * @param hostId the host id
	 * @param failureDomain the failure domain
	 * @param roles its roles
	 * @param callerPort the port for callers
	 * @param peerPort the port for peers
	 * @param operatorPort the port for operators
	 */
	private record Host(String hostId, String failureDomain, List<String> roles, int callerPort, int peerPort,
			int operatorPort) {
	}

}
