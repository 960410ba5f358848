package io.fescuehold.runtime.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a stream continues only at the software version that began it.
 */
@Timeout(60)
class StreamVersionTests {

	@TempDir
	private Path folder;

	// Guards against streams whose events came from two software versions, in one answer
	// (incident "joined versions").
	@Test
	void interruptedStreamIsNotResumedAtAnotherVersion() {
		try (VersionedFleet fleet = fleet()) {
			VersionedFleet.Backend old = fleet.startServer("v1");
			VersionedFleet.Host host = fleet.startHost(0, true);
			old.breakAfter(8);
			VersionedFleet.Backend newer = fleet.startServer("v1.1");
			// The list shows the other server while the stream runs.
			Thread.ofVirtual().start(() -> {
				awaitEvents(old);
				fleet.readLists();
			});
			TakenStream taken = begin(fleet, host, old);
			assertThat(taken.isComplete()).isFalse();
			assertThat(newer.received()).isEmpty();
			VersionedFleet.Backend sameVersion = fleet.startServer("v1");
			fleet.readLists();
			assertThat(takeUp(fleet, host, taken)).isEqualTo(200);
			assertThat(taken.isComplete()).isTrue();
			assertThat(taken.versions()).containsExactly("v1");
			assertThat(sameVersion.received()).hasSize(1);
		}
	}

	// Guards against take-ups at another host that continue at another software version
	// (incident "joined versions").
	@Test
	void takeUpAtAnotherHostContinuesAtTheVersionThatBeganTheStream() {
		try (VersionedFleet fleet = fleet()) {
			VersionedFleet.Backend old = fleet.startServer("v1");
			VersionedFleet.Host first = fleet.startHost(3, true);
			for (int number = 0; number < 3; number++) {
				fleet.startHost(number, true);
			}
			old.breakAfter(4);
			TakenStream taken = begin(fleet, first, old);
			startServers(fleet);
			awaitExchange();
			fleet.kill(first);
			assertThat(takeUp(fleet, fleet.startHost(4, true), taken)).isEqualTo(200);
			assertThat(taken.isComplete()).isTrue();
			assertThat(taken.versions()).containsExactly("v1");
		}
	}

	// Guards against take-ups after the loss of all hosts that continue at another
	// software version, or that are refused although a disk has the version (incident
	// "joined versions").
	@Test
	void takeUpAfterAllHostsWereKilledContinuesAtTheVersionThatBeganTheStream() {
		try (VersionedFleet fleet = fleet()) {
			VersionedFleet.Backend old = fleet.startServer("v1");
			VersionedFleet.Host host = fleet.startHost(3, true);
			for (int number = 0; number < 3; number++) {
				fleet.startHost(number, true);
			}
			fleet.startServer("v1.1").end();
			old.breakAfter(4);
			fleet.readLists();
			TakenStream taken = new TakenStream();
			fleet.stream(host, fleet.nextRequestId(), taken);
			for (int tries = 0; taken.beganAs() == null && tries < 20; tries++) {
				fleet.stream(host, fleet.nextRequestId(), taken);
			}
			assertThat(taken.beganAs()).isNotNull();
			fleet.killAll(fleet.hosts());
			startServers(fleet);
			for (int number = 0; number < 4; number++) {
				fleet.startHost(number, false);
			}
			VersionedFleet.Host taker = fleet.hosts().getLast();
			assertThat(takeUp(fleet, taker, taken)).isEqualTo(200);
			assertThat(taken.isComplete()).isTrue();
			assertThat(taken.versions()).containsExactly("v1");
		}
	}

	// Guards against streams of a version that only their lost host has seen in the list
	// being continued at the version before (incident "joined versions").
	@Test
	void streamDoesNotBeginAtAVersionThatOtherHostsDoNotKnow() {
		try (VersionedFleet fleet = fleet()) {
			fleet.setRecordWait(Duration.ofMillis(80));
			VersionedFleet.Backend old = fleet.startServer("v1");
			for (int number = 0; number < 4; number++) {
				fleet.startHost(number, true);
			}
			VersionedFleet.Host first = fleet.host(3);
			fleet.startServer("v1.1").breakAfter(4);
			first.readList();
			first.isolate(true);
			old.cut(first, 60_000);
			TakenStream taken = new TakenStream();
			fleet.stream(first, fleet.nextRequestId(), taken);
			fleet.kill(first);
			takeUp(fleet, fleet.host(0), taken);
			assertThat(taken.versions()).hasSizeLessThanOrEqualTo(1);
		}
	}

	// Guards against a host that has been cut off for a moment continuing a stream at the
	// only version that it knows, while another one has joined (ORDER).
	@ParameterizedTest
	@ValueSource(ints = { 0, 3 })
	void hostOutOfStepDoesNotTakeItsOnlyVersionForThatOfAStream(int outOfStep) {
		try (VersionedFleet fleet = fleet()) {
			VersionedFleet.Backend old = fleet.startServer("v1");
			for (int number = 0; number < 4; number++) {
				fleet.startHost(number, true);
			}
			VersionedFleet.Host cutOff = fleet.host(outOfStep);
			VersionedFleet.Host first = fleet.host(1);
			awaitExchange();
			cutOff.isolate(true);
			VersionedFleet.Backend newer = fleet.startServer("v1.1");
			newer.breakAfter(4);
			fleet.hosts().stream().filter((host) -> host != cutOff).forEach(VersionedFleet.Host::readList);
			old.cut(first, 60_000);
			TakenStream taken = new TakenStream();
			fleet.stream(first, fleet.nextRequestId(), taken);
			assertThat(taken.versions()).containsExactly("v1.1");
			assertThat(takeUp(fleet, cutOff, taken)).isEqualTo(503);
			assertThat(taken.versions()).containsExactly("v1.1");
			newer.breakAfter(Integer.MAX_VALUE);
			cutOff.isolate(false);
			fleet.readLists();
			assertThat(takeUp(fleet, cutOff, taken)).isEqualTo(200);
			assertThat(taken.versions()).containsExactly("v1.1");
			assertThat(taken.isComplete()).isTrue();
		}
	}

	// Guards against a guess at the version, and against a refusal that comes late.
	@Test
	void streamOfUnknownVersionIsRefusedAtOnceAndReachesNoServer() {
		try (VersionedFleet fleet = fleet()) {
			VersionedFleet.Backend old = fleet.startServer("v1");
			VersionedFleet.Host first = fleet.startHost(3, true);
			old.breakAfter(4);
			TakenStream taken = begin(fleet, first, old);
			startServers(fleet);
			fleet.kill(first);
			VersionedFleet.Host second = fleet.startHost(4, false);
			long startedNs = System.nanoTime();
			assertThat(takeUp(fleet, second, taken)).isEqualTo(503);
			assertThat(Duration.ofNanos(System.nanoTime() - startedNs)).isLessThan(Duration.ofMillis(1_000));
			assertThat(fleet.backends()).filteredOn((backend) -> backend != old)
				.allSatisfy((backend) -> assertThat(backend.received()).isEmpty());
		}
	}

	// Guards against take-ups being refused while a single version serves (LOST).
	@Test
	void streamOfTheOnlyVersionIsTakenUpWithoutARecord() {
		try (VersionedFleet fleet = fleet()) {
			VersionedFleet.Backend old = fleet.startServer("v1");
			VersionedFleet.Host first = fleet.startHost(3, true);
			VersionedFleet.Host second = fleet.startHost(0, true);
			old.breakAfter(4);
			TakenStream taken = begin(fleet, first, old);
			fleet.kill(first);
			fleet.startServer("v1");
			fleet.readLists();
			assertThat(takeUp(fleet, second, taken)).isEqualTo(200);
			assertThat(taken.isComplete()).isTrue();
		}
	}

	// Guards against state of the gateway being changed by the thread that writes
	// records.
	@Test
	void streamGoesOnInTheThreadOfTheGatewayAfterItsRecordIsOnDisk() {
		try (VersionedFleet fleet = fleet()) {
			fleet.startServer("v1");
			fleet.startServer("v1.1");
			assertThat(fleet.startHost(0, true).threadAfterRecord()).startsWith("versioned-");
		}
	}

	private VersionedFleet fleet() {
		return new VersionedFleet(this.folder, 3, UnaryOperator.identity());
	}

	private static TakenStream begin(VersionedFleet fleet, VersionedFleet.Host host, VersionedFleet.Backend server) {
		TakenStream taken = new TakenStream();
		fleet.stream(host, fleet.nextRequestId(), taken);
		assertThat(taken.versions()).containsExactly(server.version());
		server.end();
		return taken;
	}

	private static void startServers(VersionedFleet fleet) {
		for (String version : List.of("v1", "v1.1", "v1.1", "v1.1")) {
			fleet.startServer(version);
		}
		fleet.readLists();
	}

	private static void awaitEvents(VersionedFleet.Backend server) {
		while (server.received().isEmpty()) {
			Thread.onSpinWait();
		}
	}

	private static void awaitExchange() {
		try {
			Thread.sleep(300);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static int takeUp(VersionedFleet fleet, VersionedFleet.Host host, TakenStream taken) {
		return fleet.stream(host, fleet.nextRequestId(), taken);
	}

}
