package io.fescuehold.runtime.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.runtime.transport.PeerAddress;
import io.fescuehold.runtime.transport.TcpPeerTransport;
import io.fescuehold.runtime.transport.TransportOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against control messages that work in memory but not over TCP, and against
 * clients that keep sending to a stopped leader.
 */
class ControlOverTcpTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(15);

	private static final List<String> REPLICAS = List.of("r1", "r2", "r3");

	private static final int CALL_COUNT = 500;

	private final Map<String, TcpPeerTransport> transports = new HashMap<>();

	private final List<ControlService> services = new ArrayList<>();

	private final FakeAgreement agreement = new FakeAgreement("tarawera");

	private ConfigFeed routerFeed;

	private SharedStateClient client;

	@BeforeEach
	void start() {
		REPLICAS.forEach(this::startReplica);
		TcpPeerTransport router = startTransport("router");
		this.transports.forEach((host, transport) -> this.transports
			.forEach((other, peer) -> transport.setPeer(other, new PeerAddress("127.0.0.1", peer.port()))));
		this.routerFeed = feed("router", router, REPLICAS);
		this.routerFeed.start();
		this.client = new SharedStateClient(router, (share) -> REPLICAS, this.routerFeed, Schedulers.parallel());
		this.agreement.leader = "r2";
	}

	@AfterEach
	void stop() {
		this.routerFeed.stop();
		this.services.forEach(ControlService::stop);
		this.transports.values().forEach(TcpPeerTransport::close);
	}

	@Test
	void submissionIsFollowedByCallsAndALeaderThatStopsIsReplaced() throws Exception {
		assertThat(submit(Configs.teams("tarawera", 1, "parts"))).isInstanceOf(StateOutcome.Submitted.class);
		assertThat(this.client.read("tarawera").block(TIMEOUT).leaderHostId()).isEqualTo("r2");
		for (int i = 0; i < 200 && this.routerFeed.current().number("tarawera") < 1; i++) {
			Thread.sleep(10);
		}
		assertThat(this.routerFeed.current().teams()).containsKey("parts");
		long startNanos = System.nanoTime();
		for (int i = 0; i < CALL_COUNT; i++) {
			assertThat(begin("k" + i)).isInstanceOf(CallOutcome.Granted.class);
		}
		double callMs = (System.nanoTime() - startNanos) / 1e6 / CALL_COUNT;
		this.agreement.leader = "r3";
		this.transports.get("r2").close();
		long failoverNanos = System.nanoTime();
		assertThat(begin("after")).isInstanceOf(CallOutcome.Granted.class);
		System.out.printf("begin over TCP without disk: %.2f ms; first begin after the leader stopped: %d ms%n", callMs,
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failoverNanos));
		assertThat(this.client.groupStatus("tarawera").block(TIMEOUT)).containsOnlyKeys("r1", "r3");
	}

	private StateOutcome submit(ShareConfig config) {
		return this.client.submit(config.share(), ConfigJson.canonicalBytes(config), "mere").block(TIMEOUT);
	}

	private CallOutcome begin(String key) {
		long nowMs = System.currentTimeMillis();
		return this.client
			.begin("tarawera",
					new StateCommand.BeginCall(new CallKey("parts", key), "digest", "depot", "router", nowMs + 60_000,
							nowMs))
			.block(TIMEOUT);
	}

	private void startReplica(String host) {
		TcpPeerTransport transport = startTransport(host);
		ConfigFeed feed = feed(host, transport, List.of());
		ControlService service = new ControlService(host, transport, (share) -> REPLICAS, new MessagePackStateCodec(),
				feed, Schedulers.parallel());
		this.agreement.addTo(service, host, feed::offer);
		service.start();
		this.services.add(service);
	}

	private TcpPeerTransport startTransport(String host) {
		TcpPeerTransport transport = new TcpPeerTransport(
				new TransportOptions(host, new PeerAddress("127.0.0.1", 0), Map.of()), new MetricRegistry(),
				Schedulers.parallel());
		transport.start().block(TIMEOUT);
		this.transports.put(host, transport);
		return transport;
	}

	private static ConfigFeed feed(String host, TcpPeerTransport transport, List<String> upstreams) {
		return new ConfigFeed(host, transport, new FixedCandidates(upstreams, REPLICAS), null, Schedulers.parallel(),
				FeedOptions.DEFAULT);
	}

}
