package io.fescuehold.runtime.discovery;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.fescuehold.core.limits.ServerRequestLimits;
import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostState;
import io.fescuehold.core.port.PeerHandler;
import io.fescuehold.core.port.PeerMessage;
import io.fescuehold.core.port.PeerTransport;
import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.prompt.PromptShape;
import io.fescuehold.core.quarantine.RequestFeatures;
import io.fescuehold.core.quarantine.RequestQuarantine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against daemons that keep sending prompts which crashed servers elsewhere
 * (BUDGET): evidence reaches all daemons in time, without a leader.
 */
class EvidenceGossipTests {

	private static final Duration CONTACT = Duration.ofMillis(3_000);

	private static final RequestFeatures PROMPT = new RequestFeatures(
			new PromptShape(List.of(new PromptPart("bad", 10), new PromptPart("own", 5)), 10), null);

	private final VirtualTimeScheduler scheduler = VirtualTimeScheduler.create();

	private final VirtualNetwork network = new VirtualNetwork(this.scheduler);

	private final List<Daemon> daemons = new ArrayList<>();

	private List<HostRecord> hosts = List.of();

	private List<String> seeds = List.of();

	@AfterEach
	void stop() {
		this.daemons.forEach((daemon) -> daemon.gossip.stop());
		this.scheduler.dispose();
	}

	private void start(int count) {
		for (int index = 0; index < count; index++) {
			this.daemons.add(new Daemon("10.0." + index / 100 + "." + index % 100));
		}
		updateHosts();
	}

	private void updateHosts() {
		this.hosts = this.daemons.stream()
			.map((daemon) -> new HostRecord(daemon.hostId, "a", daemon.incarnation, null, HostState.READY))
			.toList();
	}

	private void crash(int daemon, String serverId) {
		this.daemons.get(daemon).quarantine.recordCrash("model", serverId, List.of(Set.of("bad")), nowMs());
		this.scheduler.advanceTimeBy(Duration.ofMillis(200));
	}

	private void crashThreeServers() {
		crash(1, "i-1");
		crash(this.daemons.size() / 2, "i-2");
		crash(this.daemons.size() - 1, "i-3");
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 7, 44, 351 })
	void crashesSeenByDifferentDaemonsAreKnownEverywhereInTime(int count) {
		start(count);
		crashThreeServers();
		this.scheduler.advanceTimeBy(CONTACT.minusMillis(600));
		assertThat(this.daemons)
			.allSatisfy((daemon) -> assertThat(daemon.quarantine.find("model", PROMPT)).isNotNull());
	}

	@ParameterizedTest
	@ValueSource(ints = { 9, 44, 351 })
	void evidencePassesAroundSilentDaemons(int count) {
		start(count);
		this.network.isolate(this.daemons.get(2).hostId);
		this.network.isolate(this.daemons.get(3).hostId);
		crashThreeServers();
		this.scheduler.advanceTimeBy(CONTACT.minusMillis(600));
		assertThat(this.daemons.stream().filter((daemon) -> daemon.quarantine.find("model", PROMPT) == null))
			.extracting((daemon) -> daemon.hostId)
			.containsOnly(this.daemons.get(2).hostId, this.daemons.get(3).hostId);
	}

	@Test
	void restartedDaemonLearnsTheEvidence() {
		start(12);
		crashThreeServers();
		this.scheduler.advanceTimeBy(CONTACT);
		this.daemons.get(5).gossip.stop();
		Daemon restarted = new Daemon(this.daemons.get(5).hostId);
		restarted.incarnation = 2;
		this.daemons.set(5, restarted);
		updateHosts();
		this.scheduler.advanceTimeBy(Duration.ofMillis(300));
		assertThat(restarted.quarantine.find("model", PROMPT)).isNotNull();
	}

	// Without a leader nobody is told of a start.
	@Test
	void daemonThatStartsWithoutALeaderAsksItsSeeds() {
		start(3);
		crashThreeServers();
		this.scheduler.advanceTimeBy(CONTACT);
		this.hosts = List.of();
		this.seeds = List.of("10.9.9.9", this.daemons.get(1).hostId, this.daemons.get(2).hostId);
		Daemon restarted = new Daemon(this.daemons.get(0).hostId);
		this.scheduler.advanceTimeBy(Duration.ofMillis(300));
		assertThat(restarted.quarantine.find("model", PROMPT)).isNotNull();
		restarted.gossip.stop();
	}

	@Test
	void nothingIsSentWithoutNewEvidence() {
		start(44);
		this.scheduler.advanceTimeBy(Duration.ofSeconds(11));
		this.network.takeMessageCount("10.");
		this.scheduler.advanceTimeBy(CONTACT);
		assertThat(this.network.takeMessageCount("10.")).isZero();
		crashThreeServers();
		this.scheduler.advanceTimeBy(CONTACT);
		assertThat(this.network.takeMessageCount("10.")).isPositive();
		this.scheduler.advanceTimeBy(CONTACT);
		assertThat(this.network.takeMessageCount("10.")).isZero();
	}

	@Test
	void soundAnswerElsewhereEndsTheQuarantineEverywhere() {
		start(44);
		crashThreeServers();
		this.scheduler.advanceTimeBy(CONTACT);
		Daemon answered = this.daemons.get(7);
		answered.quarantine.recordAnswer("model", PROMPT, this.scheduler.now(TimeUnit.MILLISECONDS));
		this.scheduler.advanceTimeBy(CONTACT);
		assertThat(this.daemons).allSatisfy((daemon) -> assertThat(daemon.quarantine.attributions()).isEmpty());
	}

	@Test
	void evidenceIsSentAgainAfterAnEmptyReply() {
		AtomicInteger requests = new AtomicInteger();
		PeerTransport emptyReplies = new PeerTransport() {

			@Override
			public void send(String hostId, PeerMessage message) {
				throw new UnsupportedOperationException("Evidence is sent as a request");
			}

			@Override
			public Mono<PeerMessage> request(String hostId, PeerMessage message, Duration timeout) {
				requests.incrementAndGet();
				return Mono.empty();
			}

			@Override
			public <T extends PeerMessage> void onMessage(Class<T> type, PeerHandler<T> handler) {
				// Nothing arrives.
			}

		};
		start(2);
		RequestQuarantine quarantine = new RequestQuarantine("10.0.0.9");
		EvidenceGossip gossip = new EvidenceGossip("10.0.0.9", emptyReplies, this.scheduler,
				() -> this.hosts.subList(0, 1), List::of, quarantine, new ServerRequestLimits(new SplittableRandom(1)));
		this.scheduler.advanceTimeBy(Duration.ofSeconds(11));
		gossip.start();
		this.scheduler.advanceTimeBy(Duration.ofSeconds(11));
		requests.set(0);
		quarantine.recordCrash("model", "i-1", List.of(Set.of("bad")), nowMs());
		this.scheduler.advanceTimeBy(Duration.ofSeconds(3));
		assertThat(requests.get()).isBetween(3, 10);
		gossip.stop();
	}

	// A daemon that a server has not told its limit must keep to it as well (LIMIT).
	@ParameterizedTest
	@ValueSource(ints = { 7, 44, 351 })
	void limitsOfServersAndTheirEndsAreKnownEverywhereInTime(int count) {
		start(count);
		this.daemons.get(1).limits.record("i-1", 3.5, 0, nowMs());
		this.scheduler.advanceTimeBy(CONTACT);
		assertThat(this.daemons)
			.allSatisfy((daemon) -> assertThat(daemon.limits.isAllowed("i-1", 0, nowMs())).isFalse());
		this.daemons.get(2).limits.record("i-1", null, nowMs(), nowMs());
		this.scheduler.advanceTimeBy(CONTACT);
		assertThat(this.daemons)
			.allSatisfy((daemon) -> assertThat(daemon.limits.isAllowed("i-1", 0, nowMs())).isTrue());
	}

	private long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	private final class Daemon {

		private final String hostId;

		private final RequestQuarantine quarantine;

		private final ServerRequestLimits limits;

		private final EvidenceGossip gossip;

		private long incarnation = 1;

		Daemon(String hostId) {
			this.hostId = hostId;
			this.quarantine = new RequestQuarantine(hostId);
			this.limits = new ServerRequestLimits(new SplittableRandom(1));
			this.gossip = new EvidenceGossip(hostId, EvidenceGossipTests.this.network.transport(hostId),
					EvidenceGossipTests.this.scheduler, () -> EvidenceGossipTests.this.hosts,
					() -> EvidenceGossipTests.this.seeds, this.quarantine, this.limits);
			this.gossip.start();
		}

	}

}
