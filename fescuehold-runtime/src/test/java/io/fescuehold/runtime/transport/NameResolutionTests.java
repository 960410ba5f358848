package io.fescuehold.runtime.transport;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against creating a name resolver for hosts that are given as IP addresses, which
 * delays the first response.
 */
@Timeout(60)
class NameResolutionTests {

	@Test
	void connectionsByIpAddressCreateNoNameResolver() throws IOException, InterruptedException {
		DisposableServer server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.route((routes) -> routes.get("/", (request, response) -> response.sendString(Mono.just("ok"))))
			.bindNow();
		try {
			Process probe = new ProcessBuilder(List.of(java(), "-cp", System.getProperty("java.class.path"),
					"-Xlog:class+load:stdout", NumericPeerProbe.class.getName(), String.valueOf(server.port())))
				.redirectErrorStream(true)
				.start();
			String output = new String(probe.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(probe.waitFor())
				.as(output.lines().skip(Math.max(0, output.lines().count() - 20)).toList().toString())
				.isZero();
			assertThat(output).contains("answer ok");
			assertThat(output.lines().filter((line) -> line.contains(" io.netty.resolver.dns.DnsNameResolver ")))
				.isEmpty();
		}
		finally {
			server.disposeNow();
		}
	}

	private static String java() {
		return ProcessHandle.current().info().command().orElseThrow();
	}

}
