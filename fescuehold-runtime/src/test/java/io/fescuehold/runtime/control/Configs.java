package io.fescuehold.runtime.control;

import java.util.List;
import java.util.TreeMap;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.config.Release;
import io.fescuehold.config.ServerState;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.TeamSpec;

/**
 * Configurations for tests.
 */
public final class Configs {

	private Configs() {
	}

	/**
	 * Returns a configuration with teams.
	 * @param share the share
	 * @param number the number
	 * @param teams the teams
	 * @return the configuration
	 */
	public static ShareConfig teams(String share, long number, String... teams) {
		return config(share, number, List.of(), List.of(), teams);
	}

	static ShareConfig releasing(String share, long number, String team, String toShare) {
		return config(share, number, List.of(new Release(ItemKind.TEAM, team, toShare)), List.of(), team);
	}

	static ShareConfig claiming(String share, long number, String team, String fromShare, long releaseNumber) {
		return config(share, number, List.of(), List.of(new Claim(ItemKind.TEAM, team, fromShare, releaseNumber)),
				team);
	}

	private static ShareConfig config(String share, long number, List<Release> releases, List<Claim> claims,
			String... teams) {
		TreeMap<String, TeamSpec> specs = new TreeMap<>();
		for (String team : teams) {
			specs.put(team, new TeamSpec(1, 0));
		}
		return new ShareConfig(share, number, null, specs, null, null, null, releases, claims);
	}

	static ShareConfig servers(String share, long number, int count) {
		TreeMap<String, ModelServerSpec> servers = new TreeMap<>();
		for (int i = 0; i < count; i++) {
			servers.put("server-" + i, new ModelServerSpec("10.0.0." + i % 250, 8_000, "north", List.of("kowhai"),
					ServerState.ACTIVE, true, true, 4_000, 64, 1_000_000));
		}
		return new ShareConfig(share, number, null, null, null, servers, null, null, null);
	}

}
