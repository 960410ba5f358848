package io.fescuehold.client;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.time.Duration;
import java.util.List;

import javax.net.ssl.KeyManagerFactory;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.Http11SslContextSpec;
import reactor.netty.http.server.HttpServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against TLS connections to routers whose certificate is not trusted.
 */
class RouterHttpTests {

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private static final String PASSWORD = "test-password";

	@TempDir
	private Path folder;

	private Path keyStore(String name) throws IOException, InterruptedException {
		Path store = this.folder.resolve(name + ".p12");
		keytool("-genkeypair", "-alias", name, "-keyalg", "EC", "-dname", "CN=" + name, "-ext", "san=ip:127.0.0.1",
				"-keystore", store.toString());
		keytool("-exportcert", "-rfc", "-alias", name, "-file", this.folder.resolve(name + ".pem").toString(),
				"-keystore", store.toString());
		return store;
	}

	private static void keytool(String... args) throws IOException, InterruptedException {
		List<String> command = new java.util.ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "keytool").toString()));
		command.addAll(List.of(args));
		command.addAll(List.of("-storepass", PASSWORD, "-storetype", "PKCS12"));
		Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
		String output = new String(process.getInputStream().readAllBytes());
		assertThat(process.waitFor()).as(output).isZero();
	}

	private static KeyManagerFactory keys(Path store) throws IOException, GeneralSecurityException {
		KeyStore loaded = KeyStore.getInstance("PKCS12");
		try (InputStream input = Files.newInputStream(store)) {
			loaded.load(input, PASSWORD.toCharArray());
		}
		KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
		keys.init(loaded, PASSWORD.toCharArray());
		return keys;
	}

	private FescueholdClient client(DisposableServer router, String trusted) {
		return FescueholdClient.builder()
			.entry("127.0.0.1:" + router.port())
			.team("team-1")
			.trustedCertificates(this.folder.resolve(trusted + ".pem"))
			.serviceTimeoutMs(1_500)
			.build();
	}

	/**
	 * Guards against calls that are sent to a router whose certificate is not trusted.
	 */
	@Test
	void onlyTrustedRoutersAreCalled() throws Exception {
		KeyManagerFactory keys = keys(keyStore("router"));
		keyStore("other");
		DisposableServer router = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.secure((spec) -> spec.sslContext(Http11SslContextSpec.forServer(keys)))
			.handle((request, response) -> response.sendString(Mono.just((request.uri().startsWith("/fescuehold"))
					? "{\"validForMs\":9000,\"addresses\":[\"" + request.requestHeaders().get("Host") + "\"]}" : "ok")))
			.bindNow();
		try (FescueholdClient trusting = client(router, "router");
				FescueholdClient untrusting = client(router, "other")) {
			assertThat(trusting.call(ServiceRequest.get("depot", "/stock")).block(LIMIT).text()).isEqualTo("ok");
			assertThatExceptionOfType(FescueholdClientException.class)
				.isThrownBy(() -> untrusting.call(ServiceRequest.get("depot", "/stock")).block(LIMIT))
				.satisfies((ex) -> assertThat(ex.run()).isEqualTo(RunStatus.NO));
		}
		finally {
			router.disposeNow();
		}
	}

}
