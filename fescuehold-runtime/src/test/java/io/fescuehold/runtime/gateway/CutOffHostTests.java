package io.fescuehold.runtime.gateway;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

import io.fescuehold.core.quarantine.Attribution;
import io.fescuehold.runtime.http.ScriptedServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of hosts that lose their links to all servers while callers and the other hosts
 * reach them.
 */
@Timeout(60)
class CutOffHostTests {

	/** The time within which a cut-off host must serve its callers again. */
	private static final Duration DETECTION = Duration.ofSeconds(3);

	private static final long CUT_MS = 60_000;

	@TempDir
	private Path folder;

	private VersionedFleet fleet;

	private VersionedFleet.Host cutOff;

	@BeforeEach
	void start() {
		this.fleet = new VersionedFleet(this.folder, 3, UnaryOperator.identity());
		for (int server = 0; server < 4; server++) {
			this.fleet.startServer("v1");
		}
		for (int number = 0; number < 4; number++) {
			this.fleet.startHost(number, true);
		}
		this.cutOff = this.fleet.host(3);
	}

	@AfterEach
	void close() {
		this.fleet.close();
	}

	// Guards against callers of a host without links to any server being refused while
	// other hosts serve theirs (incident "cut-off hosts").
	@Test
	void callersOfACutOffHostAreServedThroughAnotherHost() {
		cut(CUT_MS);
		awaitService();
		long directBefore = requestsBy(this.cutOff);
		for (int count = 0; count < 20; count++) {
			TakenStream taken = new TakenStream();
			assertThat(this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), taken)).isEqualTo(200);
			assertThat(taken.isComplete()).isTrue();
		}
		assertThat(requestsBy(this.cutOff)).isEqualTo(directBefore);
	}

	// Guards against a request that runs twice, or without its team or deadline, because
	// two hosts handle it.
	@Test
	void requestThatIsPassedOnRunsOnceAndKeepsItsIdentity() {
		cut(CUT_MS);
		awaitService();
		for (int count = 0; count < 20; count++) {
			assertThat(this.fleet.order(this.cutOff, "order-" + count)).isEqualTo(200);
		}
		assertThat(runsById("order-").values()).hasSize(20).containsOnly(1L);
		List<ScriptedServer.Received> runs = received("order-");
		assertThat(runs).allSatisfy((run) -> {
			assertThat(run.headers()).containsEntry("X-Team", "team").doesNotContainKey("fescuehold-relay-attempts");
			assertThat(Integer.parseInt(run.headers().get("X-Left-Ms"))).isLessThanOrEqualTo(TestGateway.TIMEOUT_MS);
		});
	}

	// Guards against a server that sends a header of hosts being taken for a host that
	// refuses, so that its request runs a second time (incident "cut-off hosts").
	@Test
	void headersOfHostsAreNotAcceptedFromServers() {
		this.fleet.backends().forEach((backend) -> backend.addHeader("Fescuehold-Relay-Refusal", "NO_SERVER,NO,10"));
		cut(CUT_MS);
		awaitService();
		for (int count = 0; count < 10; count++) {
			assertThat(this.fleet.order(this.cutOff, "order-" + count)).isEqualTo(200);
		}
		assertThat(runsById("order-").values()).hasSize(10).containsOnly(1L);
	}

	// Guards against both hosts retrying a request that is passed on (incident "cut-off
	// hosts").
	@Test
	void requestThatIsPassedOnIsSentToNoMoreServersThanItsRouteAllows() {
		cut(CUT_MS);
		awaitService();
		for (int count = 0; count < 20; count++) {
			assertThat(this.fleet.failingLookup(this.cutOff, "lookup-" + count)).isEqualTo(500);
		}
		assertThat(runsById("lookup-").values()).hasSize(20).allMatch((runs) -> runs <= 2);
	}

	// Guards against servers that work on for callers who have left a cut-off host.
	@Test
	void serverOfARequestThatIsPassedOnHearsThatTheCallerHasLeft() throws IOException {
		cut(CUT_MS);
		awaitService();
		this.fleet.backends().forEach(VersionedFleet.Backend::neverEnd);
		this.fleet.leaveAfterFirstEvent(this.cutOff, "leaves");
		long untilNs = System.nanoTime() + Duration.ofMillis(500).toNanos();
		while (this.fleet.backends().stream().noneMatch(VersionedFleet.Backend::sawCallerLeave)) {
			assertThat(System.nanoTime()).as("the server still sends").isLessThan(untilNs);
			sleep(5);
		}
	}

	// Guards against streams that run at the moment of the cut being lost, joined or run
	// at another version (incident "cut-off hosts").
	@Test
	void streamsThatRunWhenTheCutBeginsAreCompleted() throws InterruptedException {
		Map<String, TakenStream> streams = new ConcurrentHashMap<>();
		List<Thread> callers = new ArrayList<>();
		for (int caller = 0; caller < 8; caller++) {
			callers.add(Thread.ofVirtual().start(() -> {
				String requestId = this.fleet.nextRequestId();
				TakenStream taken = new TakenStream();
				streams.put(requestId, taken);
				this.fleet.stream(this.cutOff, requestId, taken);
			}));
		}
		Thread.sleep(90);
		cut(CUT_MS);
		for (Thread caller : callers) {
			caller.join();
		}
		assertThat(streams.values()).filteredOn(TakenStream::isComplete).hasSizeGreaterThanOrEqualTo(6);
	}

	// Guards against sound prompts in quarantine because a cut-off host took lost links
	// for crashes (incident "cut-off hosts").
	@Test
	void resetLinksPutNoPromptInQuarantine() {
		for (int round = 0; round < 4; round++) {
			await(() -> !this.cutOff.isCutOff());
			long before = requestsBy(this.cutOff);
			for (int count = 0; count < 6; count++) {
				Thread.ofVirtual()
					.start(() -> this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), new TakenStream()));
			}
			await(() -> requestsBy(this.cutOff) >= before + 6);
			cut(400);
			// Longer than the time within which losses of one server count as one crash.
			sleep(2_100);
		}
		assertThat(this.fleet.hosts()).allSatisfy((host) -> assertThat(host.quarantined()).isEmpty());
	}

	// Guards against prompts that crash servers staying out of quarantine because other
	// hosts count a response from before the crash (incident "cut-off hosts").
	@Test
	void promptThatCrashesServersIsPutInQuarantineWhileOtherHostsServe() throws InterruptedException {
		for (int server = 0; server < 4; server++) {
			this.fleet.startServer("v1");
		}
		this.fleet.readLists();
		VersionedFleet.Host host = this.cutOff;
		for (int round = 0; round < 3; round++) {
			useAllServers(this.fleet.hosts());
			assertThat(this.fleet.stream(host, this.fleet.nextRequestId(), new TakenStream())).isEqualTo(200);
			this.fleet.crashingStream(host, this.fleet.nextRequestId());
			sleep(300);
		}
		assertThat(host.quarantined()).singleElement()
			.extracting(Attribution::features)
			.isEqualTo(Set.of(VersionedFleet.CRASHING_PART));
	}

	private void useAllServers(List<VersionedFleet.Host> hosts) throws InterruptedException {
		List<Thread> callers = new ArrayList<>();
		for (VersionedFleet.Host host : hosts) {
			for (int caller = 0; caller < 16; caller++) {
				callers.add(Thread.ofVirtual().start(() -> this.fleet.streamOfItsOwnPrompt(host)));
			}
		}
		for (Thread caller : callers) {
			caller.join();
		}
	}

	// Guards against take-ups being refused after a cut because lost links were taken for
	// restarts that may have changed the version (incident "cut-off hosts").
	@Test
	void serversKeepTheirVersionsThroughACut() throws IOException, InterruptedException {
		List<TakenStream> streams = new ArrayList<>();
		for (int count = 0; count < 10; count++) {
			TakenStream taken = new TakenStream();
			this.fleet.leaveAfterFirstEvent(this.cutOff, "left-" + count);
			taken.beganBy("left-" + count);
			streams.add(taken);
		}
		cut(1_000);
		useAllServers(List.of(this.cutOff));
		awaitService();
		sleep(2_500);
		this.fleet.startServer("v1.1");
		this.fleet.readLists();
		for (TakenStream taken : streams) {
			assertThat(this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), taken)).isEqualTo(200);
			assertThat(taken.isComplete()).isTrue();
		}
	}

	// Guards against requests that wander between hosts while no host reaches a server.
	@Test
	void serversThatAreGoneForAllAreNotTakenForACut() {
		this.fleet.backends().forEach(VersionedFleet.Backend::end);
		for (int count = 0; count < 6; count++) {
			this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), new TakenStream());
		}
		sleep(800);
		assertThat(this.cutOff.isCutOff()).isFalse();
		long startedNs = System.nanoTime();
		assertThat(this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), new TakenStream())).isEqualTo(503);
		assertThat(Duration.ofNanos(System.nanoTime() - startedNs)).isLessThan(Duration.ofMillis(500));
	}

	// Guards against a host that goes on passing requests on after the cut.
	@Test
	void hostServesByItselfAgainAfterTheCut() {
		cut(2_000);
		awaitService();
		assertThat(this.cutOff.isCutOff()).isTrue();
		sleep(3_500);
		assertThat(this.cutOff.isCutOff()).isFalse();
		long before = requestsBy(this.cutOff);
		assertThat(this.fleet.order(this.cutOff, "after")).isEqualTo(200);
		assertThat(requestsBy(this.cutOff)).isEqualTo(before + 1);
	}

	// Guards against callers being refused when the host that passes requests on is lost.
	@Test
	void lossOfTheHostThatPassesOnIsBorne() {
		cut(CUT_MS);
		awaitService();
		this.fleet.kill(this.fleet.host(0));
		int served = 0;
		for (int count = 0; count < 20; count++) {
			served += (this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), new TakenStream()) == 200) ? 1 : 0;
		}
		assertThat(served).isGreaterThanOrEqualTo(19);
	}

	// The links to all servers are lost at one moment: a retry must not reach a server
	// whose link is cut a millisecond later.
	private void cut(long forMs) {
		this.fleet.backends().forEach((backend) -> backend.refuseConnections(this.cutOff));
		this.fleet.backends().forEach((backend) -> backend.cut(this.cutOff, forMs));
	}

	private static void await(BooleanSupplier condition) {
		long untilNs = System.nanoTime() + Duration.ofSeconds(10).toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).as("waited for").isLessThan(untilNs);
			sleep(5);
		}
	}

	private void awaitService() {
		long untilNs = System.nanoTime() + DETECTION.toNanos();
		while (this.fleet.stream(this.cutOff, this.fleet.nextRequestId(), new TakenStream()) != 200) {
			assertThat(System.nanoTime()).as("no service since the cut began").isLessThan(untilNs);
		}
	}

	private long requestsBy(VersionedFleet.Host host) {
		return this.fleet.backends().stream().mapToLong((backend) -> backend.receivedFrom(host).size()).sum();
	}

	private List<ScriptedServer.Received> received(String idPrefix) {
		return this.fleet.backends()
			.stream()
			.flatMap((backend) -> backend.received().stream())
			.filter((request) -> request.headers().getOrDefault("X-Request", "").startsWith(idPrefix))
			.toList();
	}

	private Map<String, Long> runsById(String idPrefix) {
		return received(idPrefix).stream()
			.collect(Collectors.groupingBy((request) -> request.headers().get("X-Request"), Collectors.counting()));
	}

	private static void sleep(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
