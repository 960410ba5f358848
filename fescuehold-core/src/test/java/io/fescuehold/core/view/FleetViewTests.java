package io.fescuehold.core.view;

import java.util.TreeMap;

import io.fescuehold.config.ShareConfig;
import io.fescuehold.config.TeamSpec;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that two routers never assign an item to different shares.
 */
class FleetViewTests {

	@Test
	void itemListedByTwoSharesHasNoOwner() {
		FleetView view = FleetView.EMPTY.with(listing("a")).with(listing("b"));
		assertThat(view.teams()).isEmpty();
	}

	@Test
	void itemListedByThreeSharesHasNoOwner() {
		FleetView view = FleetView.EMPTY.with(listing("a")).with(listing("b")).with(listing("c"));
		assertThat(view.teams()).isEmpty();
	}

	@Test
	void olderNumberIsNotApplied() {
		FleetView view = FleetView.EMPTY.with(listing("a"));
		assertThat(view.with(ShareConfig.empty("a"))).isSameAs(view);
	}

	private static ShareConfig listing(String share) {
		TreeMap<String, TeamSpec> teams = new TreeMap<>();
		teams.put("parts", new TeamSpec(1, 0));
		return new ShareConfig(share, 1, null, teams, null, null, null, null, null);
	}

}
