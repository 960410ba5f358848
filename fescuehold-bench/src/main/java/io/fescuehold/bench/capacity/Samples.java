package io.fescuehold.bench.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.NonIdempotentRule;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ServiceServerSpec;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.config.TeamSpec;
import io.fescuehold.core.placement.ServerLoad;

/**
 * Creates configurations and load reports for given numbers of servers and teams.
 */
final class Samples {

	/** The share of all configurations. */
	static final String SHARE = "north";

	private static final int MODELS = 6;

	private static final int FIRST_PORT = 10_000;

	private static final int TOKENS_PER_S = 4_000;

	private static final int MAX_RUNNING_REQUESTS = 256;

	private static final long CACHE_TOKENS = 2_000_000;

	private static final int TIMEOUT_MS = 5_000;

	private static final long OUTSTANDING_TOKENS = 10_000;

	private static final int FAILURE_DOMAINS = 6;

	private Samples() {
	}

	/**
	 * Creates a configuration.
	 * @param servers the number of model servers
	 * @param teams the number of teams
	 * @param number the number of the configuration
	 * @return the configuration
	 */
	static ShareConfig config(int servers, int teams, long number) {
		ShareConfigBuilder builder = ShareConfigBuilder.share(SHARE).number(number);
		for (int i = 0; i < servers; i++) {
			builder.modelServer("server-" + i,
					new ModelServerSpec("10.0." + i / 250 + "." + (i % 250 + 1), FIRST_PORT,
							"domain-" + i % FAILURE_DOMAINS, List.of("model-" + i % MODELS), ServerState.ACTIVE, true,
							true, TOKENS_PER_S, MAX_RUNNING_REQUESTS, CACHE_TOKENS));
		}
		for (int i = 0; i < teams; i++) {
			builder.team("team-" + i, new TeamSpec(1 + (int) ((i + number) % 3), 0));
		}
		TreeMap<String, ServiceServerSpec> jobs = new TreeMap<>();
		jobs.put("jobs-1", new ServiceServerSpec("10.1.0.1", FIRST_PORT, "domain-0", ServerState.ACTIVE, true));
		return builder
			.service("jobs", new ServiceSpec(TIMEOUT_MS, List.of(new NonIdempotentRule("POST", "/orders")), jobs))
			.build();
	}

	/**
	 * Creates a load report for each model server.
	 * @param servers the number of model servers
	 * @param nowMs the time of the reports
	 * @return the reports by server id
	 */
	static Map<String, ServerLoad> loads(int servers, long nowMs) {
		Map<String, ServerLoad> loads = new HashMap<>();
		for (int i = 0; i < servers; i++) {
			String id = "server-" + i;
			loads.put(id, new ServerLoad(id, OUTSTANDING_TOKENS + 37L * (i % 100), 10, nowMs));
		}
		return loads;
	}

}
