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
 * Prints the initial configuration of the lighthouse stays deployment: six model servers,
 * three booking and lookup servers and ten teams, two of them large. Bookings and ferry
 * seats run at most once.
 */
public final class FijiExample {

	private static final int MODEL_SERVERS = 6;

	private static final int BOOKING_SERVERS = 3;

	private static final int SMALL_TEAMS = 8;

	private static final int LARGE_TEAM_WEIGHT = 6;

	private static final int FIRST_MODEL_PORT = 8401;

	private static final int FIRST_BOOKING_PORT = 8501;

	private static final int MODEL_TOKENS_PER_S = 4_000;

	private static final int MAX_RUNNING_REQUESTS = 64;

	private static final long CACHE_TOKENS = 6_000_000;

	private static final int BOOKING_TIMEOUT_MS = 5_000;

	private static final List<String> FAILURE_DOMAINS = List.of("a", "b", "c");

	private FijiExample() {
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
		ShareConfigBuilder builder = ShareConfigBuilder.share("fiji-guests")
			.team("guests", new TeamSpec(LARGE_TEAM_WEIGHT, 0))
			.team("boatmen", new TeamSpec(LARGE_TEAM_WEIGHT, 0));
		for (int i = 1; i <= SMALL_TEAMS; i++) {
			builder.team("village-" + i, new TeamSpec(1, 0));
		}
		for (int i = 0; i < MODEL_SERVERS; i++) {
			builder.modelServer("assistant-" + (i + 1),
					new ModelServerSpec("127.0.0.1", FIRST_MODEL_PORT + i, domain(i), List.of("assistant"),
							ServerState.ACTIVE, i % 2 == 0, true, MODEL_TOKENS_PER_S, MAX_RUNNING_REQUESTS,
							CACHE_TOKENS));
		}
		TreeMap<String, ServiceServerSpec> bookings = new TreeMap<>();
		for (int i = 0; i < BOOKING_SERVERS; i++) {
			bookings.put("bookings-" + (i + 1),
					new ServiceServerSpec("127.0.0.1", FIRST_BOOKING_PORT + i, domain(i), ServerState.ACTIVE, i == 0));
		}
		List<NonIdempotentRule> rules = List.of(new NonIdempotentRule("POST", "/bookings"),
				new NonIdempotentRule("POST", "/ferry-seats"));
		return builder.service("bookings", new ServiceSpec(BOOKING_TIMEOUT_MS, rules, bookings)).build();
	}

	private static String domain(int index) {
		return FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
	}

}
