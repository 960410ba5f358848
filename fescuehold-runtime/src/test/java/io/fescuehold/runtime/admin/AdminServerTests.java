package io.fescuehold.runtime.admin;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.MessageDigest;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.runtime.control.ConfigFeed;
import io.fescuehold.runtime.control.Configs;
import io.fescuehold.runtime.control.ControlService;
import io.fescuehold.runtime.control.FakeAgreement;
import io.fescuehold.runtime.control.FeedOptions;
import io.fescuehold.runtime.control.FixedCandidates;
import io.fescuehold.runtime.control.InMemoryNetwork;
import io.fescuehold.runtime.control.MessagePackStateCodec;
import io.fescuehold.runtime.control.SharedStateClient;
import io.fescuehold.runtime.orders.OrderDispatcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against unauthorised changes, error responses without a remedy, and request
 * bodies that exhaust the memory.
 */
class AdminServerTests {

	private static final AdminOptions.Limits LIMITS = new AdminOptions.Limits(20_000, 500, 3_000, 5_000, 5_000);

	private final Scheduler scheduler = Schedulers.parallel();

	private final InMemoryNetwork network = new InMemoryNetwork(this.scheduler);

	private final FakeAgreement agreement = new FakeAgreement("tarawera");

	private final MetricRegistry metrics = new MetricRegistry();

	private final AtomicBoolean drainStarted = new AtomicBoolean();

	private HttpClient http = HttpClient.newHttpClient();

	private String scheme = "http";

	private AdminServer server;

	@BeforeEach
	void start() throws Exception {
		start(null);
	}

	private void start(AdminOptions.Tls tls) throws Exception {
		ConfigFeed feed = new ConfigFeed("h1", this.network.node("h1"), new FixedCandidates(List.of(), List.of("h1")),
				null, this.scheduler, FeedOptions.DEFAULT);
		ControlService service = new ControlService("h1", this.network.node("h1"), (share) -> List.of("h1"),
				new MessagePackStateCodec(), feed, this.scheduler);
		this.agreement.addTo(service, "h1", feed::offer);
		this.agreement.lead("h1");
		SharedStateClient client = new SharedStateClient(this.network.node("h1"), (share) -> List.of("h1"), feed,
				this.scheduler);
		List<AdminToken> tokens = List.of(token("mere", "secret", "tarawera", AdminToken.Role.ADMIN),
				token("tane", "reader", "tarawera", AdminToken.Role.VIEWER),
				token("sala", "other", "fiji", AdminToken.Role.ADMIN));
		List<StateDump> dumps = List.of(feed, service, new BrokenDump());
		this.server = new AdminServer(new AdminOptions("127.0.0.1", 0, tls, tokens, LIMITS), client, feed,
				() -> List.of("tarawera"), () -> dumps, this.metrics, () -> this.drainStarted.set(true),
				new OrderDispatcher("h1", feed, client, this.scheduler));
		this.server.start().block(Duration.ofSeconds(5));
	}

	@AfterEach
	void stop() {
		this.http.close();
		this.server.close();
	}

	@Test
	void repeatedSubmissionGetsTheSameResponse() throws Exception {
		HttpResponse<String> first = submit(Configs.teams("tarawera", 1, "parts"), "secret", "");
		assertThat(first.statusCode()).isEqualTo(200);
		assertThat(submit(Configs.teams("tarawera", 1, "parts"), "secret", "").body()).isEqualTo(first.body());
		HttpResponse<String> conflict = submit(Configs.teams("tarawera", 1, "repairs"), "secret", "");
		assertProblem(conflict, 409, "SUBMISSION_CONFLICT");
		assertThat(json(conflict).path("winnerOperator").asText()).isEqualTo("mere");
		assertThat(json(conflict).path("currentNumber").asLong()).isEqualTo(1);
	}

	@Test
	void dryRunShowsTheDifferenceAndChangesNothing() throws Exception {
		submit(Configs.teams("tarawera", 1, "parts"), "secret", "");
		HttpResponse<String> answer = submit(Configs.teams("tarawera", 2, "repairs"), "reader", "?dryRun=true");
		assertThat(json(answer).path("changed").has("/teams/repairs")).isTrue();
		assertThat(json(answer).path("removed").get(0).asText()).isEqualTo("/teams/parts");
		assertThat(get("shares/tarawera", "reader").headers().firstValue("Fescuehold-Number")).hasValue("1");
	}

	@Test
	void readsReportWhetherTheyAreCurrent() throws Exception {
		ShareConfig config = Configs.teams("tarawera", 1, "parts");
		submit(config, "secret", "");
		HttpResponse<String> current = get("shares/tarawera", "reader");
		assertThat(ConfigJson.read(current.body())).isEqualTo(config);
		assertThat(current.headers().firstValue("Fescuehold-Current")).hasValue("true");
		this.agreement.lead(null);
		HttpResponse<String> stale = get("shares/tarawera?stale=true", "reader");
		assertThat(ConfigJson.read(stale.body())).isEqualTo(config);
		assertThat(stale.headers().firstValue("Fescuehold-Current")).hasValue("false");
	}

	@Test
	void tokensOfAnotherShareOrRoleAreRefused() throws Exception {
		ShareConfig config = Configs.teams("tarawera", 1, "parts");
		assertProblem(submit(config, "wrong", ""), 401, "NOT_AUTHORISED");
		assertProblem(submit(config, "reader", ""), 403, "FORBIDDEN");
		assertProblem(submit(config, "other", ""), 403, "FORBIDDEN");
		assertProblem(get("shares/tarawera", "other"), 403, "FORBIDDEN");
		assertProblem(post("drain", "reader", ""), 403, "FORBIDDEN");
		HttpRequest withoutToken = HttpRequest.newBuilder(uri("status")).build();
		assertProblem(this.http.send(withoutToken, HttpResponse.BodyHandlers.ofString()), 401, "NOT_AUTHORISED");
		assertThat(this.drainStarted).isFalse();
	}

	@Test
	void invalidContentIsRefusedWithItsPointer() throws Exception {
		assertProblem(post("shares/tarawera/submit", "secret", "{\"share\":"), 400, "BAD_REQUEST");
		HttpResponse<String> unknown = post("shares/tarawera/submit", "secret",
				"{\"share\":\"tarawera\",\"number\":1,\"teems\":{}}");
		assertProblem(unknown, 422, "SUBMISSION_INVALID");
		assertThat(json(unknown).path("pointer").asText()).isEqualTo("/teems");
		HttpResponse<String> number = submit(Configs.teams("tarawera", 5), "secret", "");
		assertProblem(number, 409, "SUBMISSION_NUMBER");
		assertProblem(post("shares/tarawera/replicas", "secret", "{\"kind\":\"swap\"}"), 400, "BAD_REQUEST");
		assertProblem(get("nothing", "secret"), 404, "NOT_FOUND");
	}

	@Test
	void oversizedBodyIsRefusedWithAndWithoutContentLength() throws Exception {
		String large = "x".repeat(LIMITS.maxBodyBytes() + 1);
		assertProblem(post("shares/tarawera/submit", "secret", large), 413, "BODY_TOO_LARGE");
		HttpRequest chunked = request("shares/tarawera/submit", "secret")
			.POST(HttpRequest.BodyPublishers.fromPublisher(HttpRequest.BodyPublishers.ofString(large)))
			.build();
		assertProblem(this.http.send(chunked, HttpResponse.BodyHandlers.ofString()), 413, "BODY_TOO_LARGE");
	}

	@Test
	void bodyThatNeverArrivesEndsTheRequest() throws Exception {
		try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
			socket.setSoTimeout(5_000);
			socket.getOutputStream()
				.write(("POST /fescuehold/v1/shares/tarawera/submit HTTP/1.1\r\nHost: x\r\n"
						+ "Authorization: Bearer secret\r\nContent-Length: 10\r\n\r\n{")
					.getBytes(StandardCharsets.US_ASCII));
			String start = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
			assertThat(start).startsWith("HTTP/1.1 ").doesNotContain(" 200");
		}
	}

	@Test
	void statusMembershipDumpMetricsAndDrainAreServed() throws Exception {
		submit(Configs.teams("tarawera", 1, "parts"), "secret", "");
		this.metrics.counter("requests").inc(3);
		JsonNode status = json(get("status", "reader"));
		assertThat(status.at("/shares/tarawera/leader").asText()).isEqualTo("h1");
		assertThat(status.at("/inForce/h1/tarawera").asLong()).isEqualTo(1);
		String change = "{\"kind\":\"replace\",\"requestId\":\"r1\",\"hostId\":\"h4\",\"replacedHostId\":\"h1\"}";
		assertThat(json(post("shares/tarawera/replicas", "secret", change)).path("result").asText())
			.isEqualTo("REPLACE done");
		JsonNode dump = json(get("dump", "reader"));
		assertThat(dump.at("/feed/numbers/tarawera").asLong()).isEqualTo(1);
		assertThat(dump.path("broken").asText()).contains("failed");
		assertThat(json(get("metrics", "reader")).path("requests").asLong()).isEqualTo(3);
		assertThat(post("drain", "secret", "").statusCode()).isEqualTo(202);
		assertThat(this.drainStarted).isTrue();
	}

	@Test
	void missingMajorityIsReportedWithARemedy() throws Exception {
		this.agreement.lead(null);
		HttpResponse<String> answer = submit(Configs.teams("tarawera", 1), "secret", "");
		assertThat(answer.statusCode()).isIn(503, 504);
		assertThat(json(answer).path("remedy").asText()).isNotBlank();
	}

	@Test
	void certificateFromFilesIsUsed() throws Exception {
		this.server.close();
		Path folder = Path.of(AdminServerTests.class.getResource("test-certificate.pem").toURI()).getParent();
		start(new AdminOptions.Tls(folder.resolve("test-certificate.pem"), folder.resolve("test-key.pem")));
		this.http = HttpClient.newBuilder().sslContext(sslContextTrusting("test-certificate.pem")).build();
		this.scheme = "https";
		assertThat(get("metrics", "reader").statusCode()).isEqualTo(200);
	}

	private static SSLContext sslContextTrusting(String resource) throws Exception {
		KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
		store.load(null, null);
		try (InputStream certificate = AdminServerTests.class.getResourceAsStream(resource)) {
			store.setCertificateEntry("test", CertificateFactory.getInstance("X.509").generateCertificate(certificate));
		}
		TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
		trust.init(store);
		SSLContext context = SSLContext.getInstance("TLS");
		context.init(null, trust.getTrustManagers(), null);
		return context;
	}

	private static void assertProblem(HttpResponse<String> response, int status, String code) throws IOException {
		assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
		assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
		assertThat(json(response).path("code").asText()).isEqualTo(code);
		assertThat(json(response).path("remedy").asText()).isNotBlank();
		assertThat(json(response).path("run").asText()).isEqualTo("no");
	}

	private static JsonNode json(HttpResponse<String> response) throws IOException {
		return JsonMapper.builder().build().readTree(response.body());
	}

	private HttpResponse<String> submit(ShareConfig config, String token, String query) throws Exception {
		return post("shares/" + config.share() + "/submit" + query, token, ConfigJson.print(config));
	}

	private HttpResponse<String> post(String path, String token, String body) throws Exception {
		return this.http.send(request(path, token).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
				HttpResponse.BodyHandlers.ofString());
	}

	private HttpResponse<String> get(String path, String token) throws Exception {
		return this.http.send(request(path, token).build(), HttpResponse.BodyHandlers.ofString());
	}

	private HttpRequest.Builder request(String path, String token) {
		return HttpRequest.newBuilder(uri(path))
			.header("Authorization", "Bearer " + token)
			.timeout(Duration.ofSeconds(20));
	}

	private URI uri(String path) {
		return URI.create(this.scheme + "://127.0.0.1:" + this.server.port() + "/fescuehold/v1/" + path);
	}

	private static AdminToken token(String name, String secret, String share, AdminToken.Role role) throws Exception {
		byte[] digest = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
		return new AdminToken(name, HexFormat.of().formatHex(digest), share, role);
	}

	/** A component whose dump fails. */
	private static final class BrokenDump implements StateDump {

		@Override
		public String dumpName() {
			return "broken";
		}

		@Override
		public Object dump() {
			throw new IllegalStateException("no state");
		}

	}

}
