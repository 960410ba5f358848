package io.fescuehold.bench.quickstart;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.daemon.cli.CommandLine;
import reactor.netty.http.client.HttpClient;

/**
 * Runs operator commands against the fleet and waits for their effect.
 */
final class FleetControl {

	private static final long POLL_INTERVAL_MS = 50;

	private static final Duration HEALTH_TIMEOUT = Duration.ofSeconds(2);

	private static final int OK = 200;

	private final Path folder;

	/**
	 * Creates a control for a fleet.
	 * @param folder the folder of the fleet's files
	 */
	FleetControl(Path folder) {
		this.folder = folder;
	}

	/**
	 * Waits until every router responds to health checks.
	 * @param timeoutMs the maximum waiting time in milliseconds
	 */
	void awaitRouters(long timeoutMs) {
		for (int i = 1; i <= FleetFiles.HOSTS; i++) {
			int index = i;
			await("router " + FleetFiles.hostId(i) + " responds to health checks", timeoutMs, () -> isHealthy(index));
		}
	}

	private static boolean isHealthy(int index) {
		Integer status = HttpClient.create()
			.get()
			.uri("http://" + FleetFiles.callerAddress(index) + "/healthz")
			.response()
			.map((response) -> response.status().code())
			.onErrorReturn(0)
			.block(HEALTH_TIMEOUT);
		return status != null && status == OK;
	}

	/**
	 * Submits the first configuration and retries until it is accepted, because the
	 * replicas may still be electing a leader.
	 * @param timeoutMs the maximum waiting time in milliseconds
	 */
	void submit(long timeoutMs) {
		String file = this.folder.resolve("config.json").toString();
		await("the configuration is accepted", timeoutMs, () -> runCommand(1, "submit", file).code == 0);
	}

	/**
	 * Waits until a configuration is in force at every router.
	 * @param config the configuration
	 * @param timeoutMs the maximum waiting time in milliseconds
	 */
	void awaitInForce(ShareConfig config, long timeoutMs) {
		for (int i = 1; i <= FleetFiles.HOSTS; i++) {
			int index = i;
			await("the configuration is in force at " + FleetFiles.hostId(i), timeoutMs,
					() -> configNumber(runCommand(index, "show", "--share", config.share(), "--stale")) >= config
						.number());
		}
	}

	private static long configNumber(Result result) {
		try {
			JsonNode json = new ObjectMapper().readTree(result.output);
			return (result.code == 0) ? json.path("number").asLong(-1) : -1;
		}
		catch (JsonProcessingException ex) {
			return -1;
		}
	}

	private Result runCommand(int index, String name, String... options) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		List<String> args = new ArrayList<>(List.of(name, "--endpoint", "http://" + FleetFiles.operatorAddress(index),
				"--token-file", this.folder.resolve("token").toString()));
		args.addAll(List.of(options));
		int code = new CommandLine(new PrintStream(out, true, StandardCharsets.UTF_8),
				new PrintStream(new ByteArrayOutputStream()))
			.run(args.toArray(new String[0]));
		return new Result(code, out.toString(StandardCharsets.UTF_8));
	}

	private static void await(String description, long timeoutMs, BooleanSupplier condition) {
		long deadlineNs = System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadlineNs) {
				throw new IllegalStateException(
						"Timed out after " + timeoutMs + " ms while waiting until " + description);
			}
			pause();
		}
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("The quick start was interrupted", ex);
		}
	}

	private record Result(int code, String output) {

	}

}
