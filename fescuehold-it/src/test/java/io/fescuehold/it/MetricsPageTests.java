package io.fescuehold.it;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.it.harness.Eventually;
import io.fescuehold.it.harness.FleetSettings;
import io.fescuehold.it.harness.ProcessFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against metrics that are missing from the operations page and against documented
 * metrics that a running daemon does not have.
 */
class MetricsPageTests {

	// Metrics that exist only after a failure.
	private static final List<String> AFTER_FAILURES = List.of("router.refusals.…", "transport.dropped.….messages",
			"transport.silentConnections");

	@TempDir
	private Path folder;

	@Test
	void pageAndDaemonsNameTheSameMetrics() throws IOException {
		List<String> documented = documented();
		try (FleetSettings settings = new FleetSettings(this.folder, false);
				ProcessFleet fleet = new ProcessFleet(this.folder)) {
			settings.host("a", "d1", "router", "replica").host("b", "d2", "router").share("north", "a");
			fleet.startDaemonAndAwaitReady("a", settings.write("a"));
			fleet.startDaemonAndAwaitReady("b", settings.write("b"));
			String[] command = { "metrics", "--endpoint", "http://" + settings.operatorAddress("a"), "--token-file",
					settings.tokenFile("north").toString() };
			JsonNode metrics = Eventually.get("the metrics of a leader that has sent and received messages",
					Duration.ofSeconds(20),
					() -> new ObjectMapper().readTree(fleet.command(Duration.ofSeconds(10), command).output()),
					(json) -> json.path("agreement.north.disk.sync").path("count").asLong() > 0
							&& json.has("transport.received.FeedMessage.bytes"));
			List<String> names = new ArrayList<>();
			metrics.fieldNames().forEachRemaining(names::add);
			assertThat(names).allMatch((name) -> documented.stream().anyMatch((pattern) -> matches(name, pattern)));
			assertThat(documented).allMatch((pattern) -> AFTER_FAILURES.contains(pattern)
					|| names.stream().anyMatch((name) -> matches(name, pattern)));
		}
	}

	private static boolean matches(String name, String pattern) {
		return name.matches(Pattern.quote(pattern).replace("…", "\\E[A-Za-z0-9_-]+\\Q"));
	}

	private static List<String> documented() throws IOException {
		Matcher matcher = Pattern.compile("(?m)^\\| `((?:router|operators|agreement|transport)\\.[^`]+)` ")
			.matcher(Files.readString(Path.of("..", "docs", "OPERATIONS.md")));
		List<String> names = new ArrayList<>();
		while (matcher.find()) {
			names.add(matcher.group(1));
		}
		return names;
	}

}
