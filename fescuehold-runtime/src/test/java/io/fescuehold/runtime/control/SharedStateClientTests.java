package io.fescuehold.runtime.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.state.StoredAnswer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against calls that run twice or stay blocked when leadership changes, replies
 * are lost or a team is transferred to another share.
 */
class SharedStateClientTests {

	private static final Map<String, List<String>> REPLICAS = Map.of("north", List.of("n1", "n2", "n3"), "south",
			List.of("s1"));

	private static final CallKey KEY = new CallKey("parts", "order-1");

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final InMemoryNetwork network = new InMemoryNetwork(this.time);

	private final FakeAgreement north = new FakeAgreement("north");

	private final FakeAgreement south = new FakeAgreement("south");

	private SharedStateClient client;

	@BeforeEach
	void start() {
		for (String host : List.of("n1", "n2", "n3")) {
			start(host, this.north);
		}
		start("s1", this.south);
		this.north.leader = "n2";
		this.south.leader = "s1";
		ConfigFeed feed = feed("router");
		feed.start();
		this.client = new SharedStateClient(this.network.node("router"), REPLICAS::get, feed, this.time);
		submit(Configs.teams("north", 1, "parts"));
	}

	private void start(String host, FakeAgreement agreement) {
		ConfigFeed feed = feed(host);
		ControlService service = new ControlService(host, this.network.node(host), REPLICAS::get,
				new MessagePackStateCodec(), feed, this.time);
		agreement.addTo(service, host, feed::offer);
		feed.start();
		service.start();
	}

	private ConfigFeed feed(String host) {
		List<String> upstreams = host.startsWith("n") ? List.of("s1") : List.of("n1", "n2", "s1");
		return new ConfigFeed(host, this.network.node(host), new FixedCandidates(upstreams, List.of("n1", "s1")), null,
				this.time, FeedOptions.DEFAULT);
	}

	@Test
	void leaderChangeIsFollowed() {
		this.north.leader = "n3";
		assertThat(submit(Configs.teams("north", 2, "parts"))).isInstanceOf(StateOutcome.Submitted.class);
		this.network.refusingHosts.add("n3");
		this.north.leader = "n1";
		assertThat(submit(Configs.teams("north", 3, "parts"))).isInstanceOf(StateOutcome.Submitted.class);
	}

	@Test
	void silentReplicasLeaveTimeToReachTheLeader() {
		this.network.silentHosts.addAll(List.of("n1", "n2"));
		this.north.leader = "n3";
		AtomicReference<CallOutcome> outcome = new AtomicReference<>();
		this.client.begin("north", begin("")).subscribe(outcome::set, (error) -> {
		});
		this.time.advanceTimeBy(Duration.ofMillis(2_500));
		assertThat(outcome.get()).isInstanceOf(CallOutcome.Granted.class);
	}

	@Test
	void unreachableReplicasAreReportedAsNoQuorum() {
		this.network.refusingHosts.addAll(List.of("n1", "n2", "n3"));
		FescueholdException error = failure(this.client.begin("north", begin("")));
		assertThat(error.code()).isEqualTo(ErrorCode.NO_QUORUM);
		assertThat(error.run()).isEqualTo(RunStatus.NO);
		assertThat(error.retryAfterMs()).isPositive();
	}

	@Test
	void lostReplyOfAnApplyIsReportedAsUnknown() {
		this.network.replyLosingHosts.add("n2");
		FescueholdException error = failure(
				this.client.apply("north", new StateCommand.MarkUnknown(KEY, 1, 0)).cast(Object.class));
		assertThat(error.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
	}

	@Test
	void beginWhoseReplyWasLostReceivesItsGrant() {
		this.network.replyLosingHosts.add("n2");
		AtomicReference<CallOutcome> outcome = new AtomicReference<>();
		this.client.begin("north", begin("")).subscribe(outcome::set);
		this.time.advanceTimeBy(Duration.ofMillis(200));
		assertThat(outcome.get()).isNull();
		this.network.replyLosingHosts.clear();
		this.time.advanceTimeBy(Duration.ofMillis(500));
		assertThat(outcome.get()).isInstanceOf(CallOutcome.Granted.class);
	}

	@Test
	void keyOfABeginThatFailedIsFreedOnceTheLeaderAnswers() {
		this.network.replyLosingHosts.add("n2");
		FescueholdException error = failure(this.client.begin("north", begin("")));
		assertThat(error.code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
		assertThat(error.run()).isEqualTo(RunStatus.NO);
		this.network.replyLosingHosts.clear();
		this.time.advanceTimeBy(Duration.ofSeconds(1));
		assertThat(value(this.client.begin("north", begin("")))).isInstanceOf(CallOutcome.Granted.class);
	}

	@Test
	void secondCallerWithTheSameKeyIsNotGranted() {
		assertThat(value(this.client.begin("north", begin("")))).isInstanceOf(CallOutcome.Granted.class);
		assertThat(value(this.client.begin("north", begin("")))).isInstanceOf(CallOutcome.InProgress.class);
	}

	@Test
	void callThatRanBeforeATransferIsAnsweredAfterIt() {
		CallOutcome.Granted granted = (CallOutcome.Granted) value(this.client.begin("north", begin("")));
		StoredAnswer answer = new StoredAnswer(201, Map.of("Location", "/orders/7"),
				"done".getBytes(StandardCharsets.UTF_8), false);
		value(this.client.apply("north", new StateCommand.CompleteCall(KEY, granted.fencingNumber(), answer, 0)));
		transfer();
		assertThat(value(this.client.begin("north", begin("")))).isInstanceOf(CallOutcome.NotOwner.class);
		CallOutcome outcome = value(this.client.begin("south", begin("")));
		assertThat(((CallOutcome.Completed) outcome).answer().body()).isEqualTo(answer.body());
		StateCommand.BeginCall other = new StateCommand.BeginCall(new CallKey("parts", "order-2"), "d", "depot",
				"router", 60_000, 0);
		assertThat(value(this.client.begin("south", other))).isInstanceOf(CallOutcome.Granted.class);
	}

	@Test
	void callAfterATransferIsUnknownWhileTheReleasingShareIsUnreachable() {
		transfer();
		this.network.refusingHosts.addAll(List.of("n1", "n2", "n3"));
		assertThat(value(this.client.begin("south", begin("")))).isInstanceOf(CallOutcome.Unknown.class);
	}

	private void transfer() {
		submit(Configs.releasing("north", 2, "parts", "south"));
		this.time.advanceTimeBy(Duration.ofSeconds(3));
		assertThat(submit(Configs.claiming("south", 1, "parts", "north", 2)))
			.isInstanceOf(StateOutcome.Submitted.class);
		this.time.advanceTimeBy(Duration.ofSeconds(3));
	}

	private StateOutcome submit(ShareConfig config) {
		return value(this.client.submit(config.share(), ConfigJson.canonicalBytes(config), "mere"));
	}

	private StateCommand.BeginCall begin(String attemptId) {
		return new StateCommand.BeginCall(KEY, "digest", "depot", "router", 3_600_000, 0, attemptId, "");
	}

	private <T> T value(Mono<T> mono) {
		AtomicReference<T> value = new AtomicReference<>();
		mono.subscribe(value::set, (error) -> {
			throw new AssertionError(error);
		});
		this.time.advanceTimeBy(Duration.ofSeconds(12));
		return value.get();
	}

	private FescueholdException failure(Mono<?> mono) {
		AtomicReference<Throwable> failure = new AtomicReference<>();
		mono.subscribe((value) -> {
			throw new AssertionError(value);
		}, failure::set);
		this.time.advanceTimeBy(Duration.ofSeconds(4));
		return (FescueholdException) failure.get();
	}

}
