package io.fescuehold.daemon.wiring;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.daemon.settings.DaemonSettings;
import io.fescuehold.daemon.settings.FleetHostSettings;
import io.fescuehold.daemon.settings.OperatorSettings;
import io.fescuehold.daemon.settings.PeerSettings;
import io.fescuehold.daemon.settings.Role;
import io.fescuehold.daemon.settings.ShareSettings;
import io.fescuehold.daemon.settings.TokenSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a planned stop that ends while an operator's request that was read has
 * no response (LOST).
 */
@Timeout(60)
class NodeDrainTests {

	private static final String ADDRESS = "127.0.0.1";

	private static final String SHARE = "north";

	private static final int READ_MS = 2_000;

	private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

	@TempDir
	private Path folder;

	// The drain did not wait for operators, so that the outcome of a submission was lost
	// when the process ended.
	@Test
	void submissionThatWasReadIsAnsweredBeforeTheDrainIsComplete() throws Exception {
		int operatorPort = freePort();
		Node node = new Node(settings(operatorPort));
		node.start();
		try (Socket idle = connect(operatorPort); Socket submitting = connect(operatorPort)) {
			send(idle, "GET", "status", "");
			assertThat(idle.getInputStream().read()).isPositive();
			send(submitting, "POST", "shares/north/submit", ConfigJson.print(config()));
			Thread.sleep(500);
			node.drain().block(DRAIN_TIMEOUT);
			String response = new String(submitting.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).startsWith("HTTP/1.1 503").contains("connection: close", "NO_QUORUM").endsWith("}\n");
			assertThat(idle.getInputStream().readAllBytes()).isNotEmpty();
			assertThat(node.drain().block(Duration.ZERO)).isNull();
		}
		finally {
			node.stop();
		}
	}

	// The other replicas do not run, so that the outcome of a submission is known only
	// when its limit has passed.
	private DaemonSettings settings(int operatorPort) throws Exception {
		byte[] digest = MessageDigest.getInstance("SHA-256").digest("secret".getBytes(StandardCharsets.UTF_8));
		OperatorSettings operators = new OperatorSettings(ADDRESS, operatorPort, null,
				List.of(new TokenSettings("mere", HexFormat.of().formatHex(digest), SHARE, TokenSettings.ADMIN)));
		return new DaemonSettings("a", "d-a", List.of(Role.REPLICA), this.folder.toString(), null,
				new PeerSettings(ADDRESS, freePort()), operators, List.of(host("a"), host("b"), host("c")),
				List.of(new ShareSettings(SHARE, List.of("a", "b", "c"))), null, null, 1L);
	}

	private static FleetHostSettings host(String hostId) throws IOException {
		return new FleetHostSettings(hostId, "d-" + hostId, null, ADDRESS + ":" + freePort(),
				ADDRESS + ":" + freePort(), List.of(Role.REPLICA));
	}

	private static ShareConfig config() {
		return new ShareConfig(SHARE, 1, null, new TreeMap<>(Map.of("t", new TeamSpec(1, 0))), null, null, null, null,
				null);
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private static Socket connect(int port) throws IOException {
		Socket socket = new Socket(ADDRESS, port);
		socket.setSoTimeout(READ_MS);
		return socket;
	}

	private static void send(Socket socket, String method, String path, String body) throws IOException {
		socket.getOutputStream()
			.write((method + " /fescuehold/v1/" + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
					+ "Content-Length: " + body.length() + "\r\n\r\n" + body)
				.getBytes(StandardCharsets.UTF_8));
	}

}
