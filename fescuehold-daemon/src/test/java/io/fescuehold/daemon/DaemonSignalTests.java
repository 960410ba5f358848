package io.fescuehold.daemon;

import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a termination signal that ends the process at once, with what it has
 * read (LOST).
 */
@Timeout(60)
class DaemonSignalTests {

	private static final int WAIT_MS = 30_000;

	@TempDir
	private Path folder;

	// The handler of the signal was installed after all ports had been bound.
	@Test
	void signalDuringTheStartEndsTheProcessInOrder() throws Exception {
		int peerPort = freePort();
		Path log = this.folder.resolve("log");
		Process daemon = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
				classPath(), DaemonMain.class.getName(), "daemon", "--settings", settings(peerPort).toString())
			.redirectErrorStream(true)
			.redirectOutput(log.toFile())
			.start();
		try {
			awaitBound(peerPort, daemon, log);
			daemon.destroy();
			assertThat(daemon.waitFor(WAIT_MS, TimeUnit.MILLISECONDS)).as("the process has ended").isTrue();
			assertThat(Files.readString(log)).contains("Daemon a has stopped").doesNotContain("Exception");
		}
		finally {
			daemon.destroyForcibly();
		}
	}

	// The daemon logs as in production, without the configuration of the tests.
	private static String classPath() {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		return Arrays.stream(classPath.split(File.pathSeparator))
			.filter((entry) -> !entry.endsWith("test-classes"))
			.collect(Collectors.joining(File.pathSeparator));
	}

	private Path settings(int peerPort) throws IOException {
		return Files.writeString(this.folder.resolve("settings.json"), """
				{
					"hostId": "a", "failureDomain": "d", "roles": ["replica"], "dataFolder": "%s",
					"peers": {"address": "127.0.0.1", "port": %d},
					"operators": {"address": "127.0.0.1", "port": %d, "tokens": []},
					"fleet": [{"hostId": "a", "failureDomain": "d", "peerAddress": "127.0.0.1:%d",
						"operatorAddress": "127.0.0.1:1", "roles": ["replica"]}],
					"shares": [{"share": "north", "replicaHostIds": ["a"]}]
				}
				""".formatted(this.folder.resolve("data"), peerPort, freePort(), peerPort));
	}

	private static void awaitBound(int port, Process daemon, Path log) throws Exception {
		while (daemon.isAlive()) {
			try (Socket socket = new Socket("127.0.0.1", port)) {
				return;
			}
			catch (IOException ex) {
				Thread.sleep(1);
			}
		}
		throw new AssertionError(Files.readString(log));
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

}
