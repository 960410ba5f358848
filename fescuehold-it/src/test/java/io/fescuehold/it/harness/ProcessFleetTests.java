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
 * Guards against a harness that leaves processes behind, hides why a process did not
 * start, or freezes nothing.
 */
class ProcessFleetTests {

	@TempDir
	private Path folder;

	private static int status(FleetProcess process, Duration limit) throws IOException, InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + process.port("port") + "/load");
		try (HttpClient client = HttpClient.newHttpClient()) {
			return client
				.send(HttpRequest.newBuilder(uri).timeout(limit).build(), HttpResponse.BodyHandlers.discarding())
				.statusCode();
		}
	}

	/** Guards against processes that outlive the test. */
	@Test
	void closeEndsAllProcessesEvenFrozenOnes() {
		FleetProcess first;
		FleetProcess second;
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			first = fleet.standin("m1", "model-server");
			second = fleet.standin("m2", "model-server");
			second.freeze();
			assertThat(first.isAlive()).isTrue();
		}
		assertThat(first.isAlive()).isFalse();
		assertThat(second.isAlive()).isFalse();
	}

	/** Guards against a freeze that does not stop the process, or for good. */
	@Test
	void frozenProcessAnswersAfterItResumes() throws IOException, InterruptedException {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			FleetProcess process = fleet.standin("m1", "model-server");
			assertThat(status(process, Duration.ofSeconds(5))).isEqualTo(200);
			process.freeze();
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> status(process, Duration.ofMillis(300)));
			process.resume();
			assertThat(status(process, Duration.ofSeconds(5))).isEqualTo(200);
		}
	}

	/** Guards against a start that fails without a reason or waits for the full limit. */
	@Test
	void failedStartNamesTheReason() {
		try (ProcessFleet fleet = new ProcessFleet(this.folder)) {
			assertThatExceptionOfType(AssertionError.class).isThrownBy(() -> fleet.standin("s", "service"))
				.withMessageContaining("ended with code 2")
				.withMessageContaining("--log");
		}
	}

}
