package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.routes.RoutingDocument;
import io.fescuehold.core.routes.SubmissionOutcome;
import io.fescuehold.runtime.replica.AgreementTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests in virtual time which configuration daemons obey, and which they call confirmed,
 * when the leader is lost or an update fails. The leader and the other voters are
 * scripted.
 */
class ObeyedConfigurationTests {

	/**
	 * The time within which an acknowledged configuration must be in force everywhere.
	 */
	private static final long IN_FORCE_WITHIN_MS = 3_000;

	/** Twice the number of pulls in two seconds without updates. */
	private static final int MAX_PULLS = (int) (4_000 / FleetOptions.Timing.DEFAULT.holdMs());

	private static final List<String> VOTERS = List.of("10.1.0.1", "10.1.0.2", "10.1.0.3");

	private static final String LEADER = VOTERS.getFirst();

	private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();

	private final VirtualNetwork network = new VirtualNetwork(this.scheduler);

	private final List<Fleet> fleets = new ArrayList<>();

	private final List<RecordingListener> listeners = new ArrayList<>();

	private RoutingDocument newest = TestFleet.document(7, "a");

	private Long reportedNumber = 7L;

	private SubmissionOutcome outcome = SubmissionOutcome.ACCEPTED;

	private int leaderPulls;

	/** The state that the hosts report, or null if it cannot be determined. */
	private HostState state = HostState.READY;

	@AfterEach
	void stop() {
		this.fleets.forEach(Fleet::stop);
		this.scheduler.dispose();
	}

	/**
	 * Guards against an acknowledgement that overtakes the configuration: the leader was
	 * lost right after it, and the host that had acknowledged obeyed the old one.
	 */
	@ParameterizedTest
	@EnumSource(value = SubmissionOutcome.class, names = { "ACCEPTED", "REPEATED" })
	void hostObeysWhatItAcknowledgesEvenIfTheLeaderIsLostRightThen(SubmissionOutcome acknowledged) {
		start(1);
		this.outcome = acknowledged;
		assertThat(submitToLeaderThatIsLost(TestFleet.document(8, "b"))).containsExactly(acknowledged + " under 8");
	}

	/**
	 * Guards against the acknowledgement of an overtaken configuration by a host that
	 * obeys an even older one.
	 */
	@Test
	void hostThatAcknowledgesAnOvertakenConfigurationObeysTheNewerOne() {
		start(1);
		this.outcome = SubmissionOutcome.OVERTAKEN;
		commit(TestFleet.document(9, "c"));
		assertThat(submit(TestFleet.document(8, "b"))).containsExactly("OVERTAKEN under 9");
	}

	/**
	 * Guards against an acknowledgement by a host whose update failed.
	 */
	@Test
	void hostThatCannotPutTheConfigurationInForceDoesNotAcknowledgeIt() {
		start(1);
		this.listeners.getFirst().refusesDocuments = true;
		assertThat(submitToLeaderThatIsLost(TestFleet.document(8, "b"))).containsExactly("OUTCOME_UNKNOWN under 7");
	}

	/**
	 * Guards against a read that returns a newer configuration than the host obeys.
	 */
	@Test
	void hostObeysWhatItHasRead() {
		start(1);
		List<String> reads = new ArrayList<>();
		commit(TestFleet.document(8, "b"));
		this.fleets.getFirst()
			.readNewest()
			.subscribe((read) -> reads.add(read.number() + " under " + this.listeners.getFirst().number()));
		this.network.isolate(LEADER, Duration.ofMillis(1));
		this.scheduler.advanceTimeBy(Duration.ofMillis(10));
		assertThat(reads).containsExactly("8 under 8");
	}

	/**
	 * Guards against an acknowledged configuration that no other host obeys until a
	 * leader comes back.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 24, 350 })
	void otherHostsFollowWithoutALeader(int hosts) {
		start(hosts);
		submitToLeaderThatIsLost(TestFleet.document(8, "b"));
		this.scheduler.advanceTimeBy(Duration.ofMillis(IN_FORCE_WITHIN_MS));
		assertThat(this.listeners).allSatisfy((listener) -> assertThat(listener.numbers).containsExactly(7L, 8L));
	}

	/**
	 * Guards against an old configuration that is called the newest because its
	 * replacement failed after the number had been recorded.
	 */
	@Test
	void configurationWhoseUpdateFailedIsNotConfirmedAndTheUpdateIsRetried() {
		start(1);
		RecordingListener listener = this.listeners.getFirst();
		listener.refusesDocuments = true;
		commit(TestFleet.document(8, "b"));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		int confirmations = listener.confirmations;
		listener.refusals = 0;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(2));
		assertThat(listener.confirmations).isEqualTo(confirmations);
		assertThat(listener.refusals).as("attempts, bounded").isBetween(2, MAX_PULLS);
		listener.refusesDocuments = false;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		assertThat(listener.number()).isEqualTo(8);
		assertThat(listener.confirmations).isGreaterThan(confirmations);
	}

	/**
	 * Guards against a leader with older content that confirms a newer configuration.
	 */
	@Test
	void leaderWithALowerNumberDoesNotConfirm() {
		start(1);
		this.reportedNumber = 6L;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		int confirmations = this.listeners.getFirst().confirmations;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		assertThat(this.listeners.getFirst().confirmations).isEqualTo(confirmations);
		assertThat(this.listeners.getFirst().numbers).containsExactly(7L);
	}

	@Test
	void leaderOfAnEarlierVersionConfirms() {
		this.reportedNumber = null;
		start(1);
		int confirmations = this.listeners.getFirst().confirmations;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		assertThat(this.listeners.getFirst().confirmations).isGreaterThan(confirmations);
	}

	/**
	 * Guards against pulls that end, or a leader that is given up, because another part
	 * of an update failed.
	 */
	@Test
	void pullsGoOnAfterAnotherPartOfAnUpdateFailed() {
		start(1);
		this.listeners.getFirst().refusesHosts = true;
		commit(TestFleet.document(8, "b"));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		this.leaderPulls = 0;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(2));
		assertThat(this.listeners.getFirst().number()).isEqualTo(8);
		assertThat(this.leaderPulls).as("pulls, bounded").isBetween(2, MAX_PULLS);
		assertThat(((Map<?, ?>) this.fleets.getFirst().dump()).get("leader")).isEqualTo(LEADER);
	}

	private void commit(RoutingDocument document) {
		this.newest = document;
		this.reportedNumber = document.number();
	}

	/**
	 * Guards against pulls that end with one that cannot be sent.
	 */
	@Test
	void pullsGoOnAfterOneThatCouldNotBeSent() {
		start(1);
		this.state = null;
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		this.state = HostState.READY;
		commit(TestFleet.document(8, "b"));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(1));
		assertThat(this.listeners.getFirst().number()).isEqualTo(8);
	}

	private List<String> submitToLeaderThatIsLost(RoutingDocument document) {
		this.network.isolate(LEADER, Duration.ofMillis(1));
		return submit(document);
	}

	// Returns each outcome with the number in force at the host when it was returned.
	private List<String> submit(RoutingDocument document) {
		List<String> outcomes = new ArrayList<>();
		this.fleets.getFirst()
			.submit(document)
			.map(SubmissionOutcome::name)
			.onErrorResume(FescueholdException.class, (error) -> Mono.just(error.code().name()))
			.subscribe((name) -> outcomes.add(name + " under " + this.listeners.getFirst().number()));
		this.scheduler.advanceTimeBy(Duration.ofMillis(20));
		return outcomes;
	}

	private void start(int hosts) {
		VOTERS.forEach(this::startVoter);
		IntStream.rangeClosed(1, hosts).forEach((number) -> startHost(hostId(number)));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(2));
		assertThat(this.listeners).allSatisfy((listener) -> assertThat(listener.numbers).containsExactly(7L));
	}

	private static String hostId(int number) {
		return "10.2." + number / 250 + "." + (1 + number % 250);
	}

	private void startHost(String hostId) {
		PeerTransport transport = this.network.transport(hostId);
		RecordingListener listener = new RecordingListener();
		FleetOptions options = new FleetOptions(hostId, "a", 7_000, VOTERS, false, null, 1, 0,
				FleetOptions.Timing.DEFAULT);
		Fleet fleet = new Fleet(options, transport, new AgreementTransport(transport), this.scheduler,
				() -> Mono.just(List.of()), listener, () -> this.state, new MetricRegistry(),
				new SplittableRandom(hostId.hashCode()), 1);
		this.listeners.add(listener);
		this.fleets.add(fleet);
		fleet.start();
	}

	private void startVoter(String hostId) {
		PeerTransport transport = this.network.transport(hostId);
		transport.onMessage(SyncMessage.Pull.class, (from, pull) -> answer(hostId, pull));
		transport.onMessage(SyncMessage.Submit.class,
				(from, submit) -> Mono.just(new SyncMessage.Submitted(this.outcome.name())));
		transport.onMessage(SyncMessage.ReadNewest.class,
				(from, read) -> Mono.just(new SyncMessage.Newest(this.newest.encode())));
	}

	// The leader holds pulls without updates. The other voters know no leader and hold no
	// newer configuration.
	private Mono<SyncMessage.News> answer(String hostId, SyncMessage.Pull pull) {
		boolean leads = hostId.equals(LEADER);
		this.leaderPulls += leads ? 1 : 0;
		boolean updates = leads && (this.newest.number() > pull.number() || pull.hostsRevision() != 1);
		return Mono.delay(Duration.ofMillis(updates ? 0 : FleetOptions.Timing.DEFAULT.holdMs()), this.scheduler)
			.map((done) -> leads ? news(pull)
					: new SyncMessage.News(null, false, null, null, 1, hosts(VOTERS), Map.of(), Map.of(), null, null));
	}

	private SyncMessage.News news(SyncMessage.Pull pull) {
		List<String> all = new ArrayList<>(VOTERS);
		IntStream.rangeClosed(1, this.fleets.size()).forEach((number) -> all.add(hostId(number)));
		boolean newer = this.newest.number() > pull.number();
		return new SyncMessage.News(LEADER, true, newer ? this.newest.encode() : null, null, 1, hosts(all), Map.of(),
				Map.of(), this.reportedNumber, null);
	}

	private static List<HostRecord> hosts(List<String> hostIds) {
		return hostIds.stream()
			.map((hostId) -> new HostRecord(hostId, "a", 1, VOTERS.contains(hostId) ? "store-" + hostId : null,
					HostState.READY))
			.toList();
	}

}
