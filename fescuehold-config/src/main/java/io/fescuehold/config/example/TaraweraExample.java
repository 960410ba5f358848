package io.fescuehold.config.example;

import java.util.List;
import java.util.TreeMap;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.NonIdempotentRule;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ServiceServerSpec;
import io.fescuehold.config.ServiceSpec;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.ShareConfigBuilder;
import io.fescuehold.config.TeamSpec;

/**
 * Prints the initial configuration of the clock repair deployment: twelve model servers,
 * three depot job servers and ten teams, two of them large. Parts orders and callouts run
 * at most once.
 */
public final class TaraweraExample {

	private static final int MODEL_SERVERS = 12;

	private static final int DEPOT_SERVERS = 3;

	private static final int SMALL_TEAMS = 8;

	private static final int LARGE_TEAM_WEIGHT = 6;

	private static final int FIRST_MODEL_PORT = 8201;

	private static final int FIRST_DEPOT_PORT = 8301;

	private static final int MODEL_TOKENS_PER_S = 4_000;

	private static final int MAX_RUNNING_REQUESTS = 64;

	private static final long CACHE_TOKENS = 2_000_000;

	private static final int DEPOT_TIMEOUT_MS = 5_000;

	private static final List<String> FAILURE_DOMAINS = List.of("a", "b", "c");

	private TaraweraExample() {
	}

	/**
	 * Prints the configuration.
	 * @param args not used
	 */
	public static void main(String[] args) {
		ConfigPrinter.print(ConfigJson.print(config()));
	}

	/**
	 * Returns the configuration of the share before the split.
	 * @return the configuration
	 */
	public static ShareConfig config() {
		ShareConfigBuilder builder = ShareConfigBuilder.share("tarawera-north")
			.team("field-rail", new TeamSpec(LARGE_TEAM_WEIGHT, 0))
			.team("field-council", new TeamSpec(LARGE_TEAM_WEIGHT, 0));
		for (int i = 1; i <= SMALL_TEAMS; i++) {
			builder.team("depot-" + i, new TeamSpec(1, 0));
		}
		for (int i = 0; i < MODEL_SERVERS; i++) {
			builder.modelServer("clock-" + (i + 1),
					new ModelServerSpec("127.0.0.1", FIRST_MODEL_PORT + i, domain(i), List.of("clock-repair"),
							ServerState.ACTIVE, i % 2 == 0, true, MODEL_TOKENS_PER_S, MAX_RUNNING_REQUESTS,
							CACHE_TOKENS));
		}
		TreeMap<String, ServiceServerSpec> depots = new TreeMap<>();
		for (int i = 0; i < DEPOT_SERVERS; i++) {
			depots.put("depot-jobs-" + (i + 1),
					new ServiceServerSpec("127.0.0.1", FIRST_DEPOT_PORT + i, domain(i), ServerState.ACTIVE, i == 0));
		}
		List<NonIdempotentRule> rules = List.of(new NonIdempotentRule("POST", "/parts-orders"),
				new NonIdempotentRule("POST", "/callouts"));
		return builder.service("depot-jobs", new ServiceSpec(DEPOT_TIMEOUT_MS, rules, depots)).build();
	}

	private static String domain(int index) {
		return FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
	}

}
