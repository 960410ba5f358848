package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.view.FleetView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two shares that own the same team during a transfer, both in the state
 * machines of the shares and in every view that a router may have.
 */
class TransferTests {

	private static final int STEPS = 150;

	private static final int MAX_STEP_MS = 100_000;

	private final TransferModel model = new TransferModel();

	@Test
	void teamHasAtMostOneOwnerAtEveryPairOfNumbers() {
		this.model.start();
		this.model.submit(TestShare.config("north", 1, "parts"));
		this.model.submit(TestShare.config("south", 1));
		this.model.submit(releasing("north", 2, "parts", "south"));
		this.model.submit(claiming("south", 2, "parts", "north", 2));
		this.model.submit(TestShare.config("north", 3));
		this.model.submit(releasing("south", 3, "parts", "north"));
		this.model.submit(claiming("north", 4, "parts", "south", 3));
		this.model.submit(TestShare.config("south", 4));
		List<String> owners = new ArrayList<>();
		for (ShareConfig north : this.model.accepted("north")) {
			for (ShareConfig south : this.model.accepted("south")) {
				FleetView.Owned<?> owned = FleetView.EMPTY.with(north).with(south).teams().get("parts");
				owners.add((owned != null) ? owned.share() : "-");
				assertOwnerIsTheOnlyClaimant(List.of(north, south));
			}
		}
		assertThat(this.model.accepted("north")).hasSize(4);
		assertThat(this.model.accepted("south")).hasSize(4);
		assertThat(owners).containsExactly("north", "north", "north", "north", "-", "south", "-", "-", "-", "south",
				"-", "-", "-", "-", "north", "north");
	}

	@Test
	void claimIsRefusedUntilTheReleaseIsObserved() {
		TestShare south = new TestShare("south");
		ShareConfig claiming = claiming("south", 1, "parts", "north", 2);
		SubmissionTests.assertRefused(south.submit(claiming, 0), "/claims/0/releaseNumber");
		south.observe(TestShare.config("north", 2, "parts"));
		SubmissionTests.assertRefused(south.submit(claiming, 0), "/claims/0/id");
		south.observe(releasing("north", 3, "parts", "south"));
		assertThat(south.submit(claiming, 0)).isInstanceOf(StateOutcome.Submitted.class);
	}

	@Test
	void releasedTeamCannotBeRelistedOrReleasedToAThirdShare() {
		TestShare north = new TestShare("north");
		north.submit(TestShare.config("north", 1, "parts"), 0);
		north.submit(releasing("north", 2, "parts", "south"), 0);
		north.restart();
		SubmissionTests.assertRefused(north.submit(TestShare.config("north", 3, "parts"), 0), "/teams/parts");
		SubmissionTests.assertRefused(north.submit(releasing("north", 3, "parts", "west"), 0), "/releases/0/toShare");
		north.submit(TestShare.config("north", 3), 0);
		SubmissionTests.assertRefused(north.submit(TestShare.config("north", 4, "parts"), 0), "/teams/parts");
	}

	@Test
	void releaseThatWasClaimedBeforeCannotBeClaimedAgain() {
		TestShare north = new TestShare("north");
		TestShare south = new TestShare("south");
		north.submit(TestShare.config("north", 1, "parts"), 0);
		north.submit(releasing("north", 2, "parts", "south"), 0);
		south.apply(north.machine().observation());
		south.submit(claiming("south", 1, "parts", "north", 2), 0);
		south.submit(releasing("south", 2, "parts", "north"), 0);
		south.restart();
		SubmissionTests.assertRefused(south.submit(claiming("south", 3, "parts", "north", 2), 0),
				"/claims/0/releaseNumber");
		north.apply(south.machine().observation());
		north.submit(claiming("north", 3, "parts", "south", 2), 0);
		north.submit(releasing("north", 4, "parts", "south"), 0);
		south.apply(north.machine().observation());
		// With the number of the first release, routers could not distinguish the two
		// transfers.
		SubmissionTests.assertRefused(south.submit(claiming("south", 3, "parts", "north", 2), 0),
				"/claims/0/releaseNumber");
		assertThat(south.submit(claiming("south", 3, "parts", "north", 4), 0))
			.isInstanceOf(StateOutcome.Submitted.class);
	}

	@Test
	void teamListedByAnotherShareNeedsAClaim() {
		TestShare south = new TestShare("south");
		south.observe(TestShare.config("north", 1, "parts"));
		SubmissionTests.assertRefused(south.submit(TestShare.config("south", 1, "parts"), 0), "/teams/parts");
	}

	@Test
	void claimOnATeamIsRequiredWhileEarlierCallsMayBeLookedUp() {
		TestShare south = new TestShare("south");
		south.observe(releasing("north", 2, "parts", "south"));
		south.submit(claiming("south", 1, "parts", "north", 2), 1_000);
		long retentionMs = TestShare.RETENTION_S * 1_000;
		SubmissionTests.assertRefused(south.submit(TestShare.config("south", 2, "parts"), retentionMs), "/claims");
		assertThat(south.submit(TestShare.config("south", 2, "parts"), 1_000 + retentionMs))
			.isInstanceOf(StateOutcome.Submitted.class);
	}

	@Test
	void teamThatAnotherShareListsCannotBeReleased() {
		TestShare west = new TestShare("west");
		west.observe(TestShare.config("north", 1, "parts"));
		SubmissionTests.assertRefused(west.submit(TestShare.config("west", 1, TestShare.teams("parts"),
				List.of(TestShare.release("parts", "south")), List.of()), 0), "/teams/parts");
	}

	@ParameterizedTest
	@MethodSource("io.fescuehold.core.TestSeeds#many")
	void randomReleasesAndClaimsNeverYieldTwoOwners(long seed) {
		run(seed);
	}

	@Test
	void randomRunsContainTransfers() {
		int claims = 0;
		for (int seed = 0; seed < 20; seed++) {
			claims += run(seed);
		}
		assertThat(claims).isGreaterThan(40);
	}

	private int run(long seed) {
		Random random = new Random(seed);
		this.model.startWithTeams();
		for (int step = 0; step < STEPS; step++) {
			this.model.step(random, MAX_STEP_MS);
			assertAtMostOneGroupOwns();
			assertOwnerIsTheOnlyClaimant(TransferModel.SHARES.stream()
				.map((share) -> TransferModel.pick(random, this.model.accepted(share)))
				.toList());
		}
		return this.model.distinctClaimCount();
	}

	private static ShareConfig releasing(String share, long number, String team, String toShare) {
		return TestShare.config(share, number, TestShare.teams(team), List.of(TestShare.release(team, toShare)),
				List.of());
	}

	private static ShareConfig claiming(String share, long number, String team, String fromShare, long releaseNumber) {
		return TestShare.config(share, number, TestShare.teams(team), List.of(),
				List.of(TestShare.claim(team, fromShare, releaseNumber)));
	}

	private void assertAtMostOneGroupOwns() {
		for (String team : TransferModel.TEAMS) {
			assertThat(TransferModel.SHARES.stream()
				.filter((share) -> this.model.group(share).machine().owns(ItemKind.TEAM, team))).as(team)
				.hasSizeLessThanOrEqualTo(1);
		}
	}

	// A view assigns a team to the only share that may own it, or to none if two may,
	// regardless of the order in which the configurations arrive.
	private static void assertOwnerIsTheOnlyClaimant(List<ShareConfig> configs) {
		FleetView view = FleetView.EMPTY;
		FleetView reversed = FleetView.EMPTY;
		for (int i = 0; i < configs.size(); i++) {
			view = view.with(configs.get(i));
			reversed = reversed.with(configs.get(configs.size() - 1 - i));
		}
		for (String team : TransferModel.TEAMS) {
			List<String> claimants = configs.stream()
				.filter((config) -> mayOwn(config, team, configs))
				.map(ShareConfig::share)
				.toList();
			FleetView.Owned<?> owned = view.teams().get(team);
			assertThat((owned != null) ? List.of(owned.share()) : List.of())
				.isEqualTo((claimants.size() == 1) ? claimants : List.of());
			assertThat(reversed.teams().get(team)).isEqualTo(owned);
		}
	}

	private static boolean mayOwn(ShareConfig config, String team, List<ShareConfig> configs) {
		if (!config.teams().containsKey(team) || config.releases(ItemKind.TEAM, team)) {
			return false;
		}
		for (Claim claim : config.claims()) {
			for (ShareConfig from : configs) {
				boolean released = from.number() >= claim.releaseNumber() && (!from.teams().containsKey(team)
						|| from.releases().contains(TestShare.release(team, config.share())));
				if (claim.id().equals(team) && claim.fromShare().equals(from.share()) && !released) {
					return false;
				}
			}
		}
		return true;
	}

}
