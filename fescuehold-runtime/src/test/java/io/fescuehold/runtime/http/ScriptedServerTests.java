package io.fescuehold.runtime.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests of {@link ScriptedServer}.
 */
class ScriptedServerTests {

	// Guards against a host that a test has cut off still reaching a server (CI of issue
	// 28).
	@Test
	void crashedServerAcceptsNoConnection() {
		for (int round = 0; round < 200; round++) {
			ScriptedServer server = new ScriptedServer((request, connection) -> connection.answer(200, ""));
			server.crash(60_000);
			assertThatIOException().isThrownBy(() -> {
				try (Socket socket = new Socket()) {
					socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()), 1_000);
				}
			});
			server.close();
		}
	}

}
