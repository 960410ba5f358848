package io.fescuehold.it.harness;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a harness that leaks processes, hides why a process did not start, or
 * does not suspend a process.
 */
class ProcessFleetTests {

	@TempDir
	private Path folder;

	private static int status(FleetProcess process, Duration timeout) throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + process.port("port") + "/load");
		try (HttpClient client = HttpClient.newHttpClient()) {
			return client
				.send(HttpRequest.newBuilder(uri).timeout(timeout).build(), HttpResponse.BodyHandlers.discarding())
				.statusCode();
		}
	}

	/** Guards against processes that outlive the test. */
	@Test
	void closeKillsAllProcessesIncludingFrozenOnes() {
		FleetProcess first;
		FleetProcess second;
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			first = fleet.startStandin("m1", "model-server");
			second = fleet.startStandin("m2", "model-server");
			second.freeze();
			assertThat(first.isAlive()).isTrue();
		}
		assertThat(first.isAlive()).isFalse();
		assertThat(second.isAlive()).isFalse();
	}

	/** Guards against a process that is not suspended, or that does not resume. */
	@Test
	void frozenProcessRespondsAfterItResumes() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			FleetProcess process = fleet.startStandin("m1", "model-server");
			assertThat(status(process, Duration.ofSeconds(5))).isEqualTo(200);
			process.freeze();
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> status(process, Duration.ofMillis(300)));
			process.resume();
			assertThat(status(process, Duration.ofSeconds(5))).isEqualTo(200);
		}
	}

	/** Guards against a failed start that reports no reason or waits for the timeout. */
	@Test
	void failedStartReportsTheReason() {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			assertThatExceptionOfType(AssertionError.class).isThrownBy(() -> fleet.startStandin("s", "service"))
				.withMessageContaining("exited with code 2")
				.withMessageContaining("--log");
		}
	}

}
