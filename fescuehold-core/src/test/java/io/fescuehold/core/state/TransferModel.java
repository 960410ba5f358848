package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.fescuehold.config.Claim;
import io.fescuehold.config.ItemKind;
import io.fescuehold.config.Release;
import io.fescuehold.config.ShareConfig;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A model of three shares that transfer teams by random releases and claims. Observations
 * of the other shares are delayed, reordered or lost.
 */
final class TransferModel {

	static final List<String> SHARES = List.of("north", "south", "west");

	static final List<String> TEAMS = List.of("parts", "repairs");

	private final Map<String, TestShare> groups = new HashMap<>();

	private final Map<String, List<ShareConfig>> accepted = new HashMap<>();

	private final Map<String, List<StateCommand.ObserveShare>> observations = new HashMap<>();

	private long nowMs;

	TestShare group(String share) {
		return this.groups.get(share);
	}

	List<ShareConfig> accepted(String share) {
		return this.accepted.get(share);
	}

	long nowMs() {
		return this.nowMs;
	}

	void startWithTeams() {
		start();
		submit(TestShare.config("north", 1, TEAMS.toArray(String[]::new)));
		submit(TestShare.config("south", 1));
		submit(TestShare.config("west", 1));
	}

	void step(Random random, int maxStepMs) {
		this.nowMs += random.nextInt(maxStepMs);
		if (random.nextInt(3) == 0) {
			deliverRandomObservation(random);
			return;
		}
		String share = pick(random, SHARES);
		applyChange(this.groups.get(share), randomChange(random, share));
	}

	int distinctClaimCount() {
		return (int) this.accepted.values()
			.stream()
			.flatMap(List::stream)
			.flatMap((config) -> config.claims().stream())
			.distinct()
			.count();
	}

	void start() {
		this.groups.clear();
		this.accepted.clear();
		this.nowMs = 0;
		SHARES.forEach((share) -> {
			this.groups.put(share, new TestShare(share));
			this.accepted.put(share, new ArrayList<>());
			this.observations.put(share, new ArrayList<>());
		});
	}

	void submit(ShareConfig config) {
		this.nowMs += TestShare.RETENTION_S * 1_000;
		assertThat(submitAndRecord(this.groups.get(config.share()), config)).isInstanceOf(StateOutcome.Submitted.class);
		StateCommand.ObserveShare observation = this.observations.get(config.share()).getLast();
		this.groups.values().forEach((group) -> group.apply(observation));
	}

	private CommandOutcome submitAndRecord(TestShare group, ShareConfig config) {
		CommandOutcome outcome = group.submit(config, this.nowMs);
		if (outcome instanceof StateOutcome.Submitted) {
			this.accepted.get(config.share()).add(config);
			this.observations.get(config.share()).add(group.machine().observation());
		}
		return outcome;
	}

	private void applyChange(TestShare group, Change change) {
		ShareConfig config = group.machine().config();
		boolean everListed = this.accepted.get(config.share())
			.stream()
			.anyMatch((earlier) -> earlier.teams().containsKey(change.team()));
		boolean released = config.releases(ItemKind.TEAM, change.team());
		// Only releases and claims transfer a team. The model excludes two shares that
		// create the same team concurrently, or list one that was removed without a
		// release: both groups accept its calls until they have observed each other.
		if ((change.kind() == Change.LIST && !everListed) || (change.kind() == Change.REMOVE && !released)) {
			return;
		}
		List<String> teams = new ArrayList<>(config.teams().keySet());
		List<Release> releases = new ArrayList<>(config.releases());
		List<Claim> claims = new ArrayList<>(config.claims());
		releases.removeIf((release) -> release.id().equals(change.team()));
		claims.removeIf((claim) -> claim.id().equals(change.team()));
		teams.remove(change.team());
		switch (change.kind()) {
			case Change.LIST -> teams.add(change.team());
			case Change.RELEASE -> {
				teams.add(change.team());
				releases.add(TestShare.release(change.team(), change.otherShare()));
			}
			case Change.CLAIM -> {
				teams.add(change.team());
				claims.add(TestShare.claim(change.team(), change.otherShare(),
						Math.max(1, this.groups.get(change.otherShare()).machine().config().number() - change.lag())));
			}
			default -> {
			}
		}
		submitAndRecord(group, TestShare.config(config.share(), config.number() + 1,
				TestShare.teams(teams.toArray(String[]::new)), releases, claims));
	}

	private Change randomChange(Random random, String share) {
		List<Change> claims = new ArrayList<>();
		for (String other : SHARES) {
			for (Release release : this.groups.get(other).machine().config().releases()) {
				boolean notOwned = !this.groups.get(share).machine().owns(ItemKind.TEAM, release.id());
				if (release.toShare().equals(share) && notOwned) {
					claims.add(new Change(Change.CLAIM, release.id(), other, random.nextInt(2)));
				}
			}
		}
		if (!claims.isEmpty() && random.nextInt(4) > 0) {
			// Without this preference, few random claims match a release and the runs
			// contain few transfers.
			Change claim = pick(random, claims);
			if (random.nextBoolean()) {
				this.groups.get(share).apply(this.observations.get(claim.otherShare()).getLast());
			}
			return claim;
		}
		return new Change(random.nextInt(Change.REMOVE + 1), pick(random, TEAMS), pick(random, SHARES),
				random.nextInt(3));
	}

	private void deliverRandomObservation(Random random) {
		List<StateCommand.ObserveShare> others = this.observations.get(pick(random, SHARES));
		StateCommand.ObserveShare other = random.nextBoolean() ? others.getLast() : pick(random, others);
		this.groups.get(pick(random, SHARES)).apply(other);
	}

	static <T> T pick(Random random, List<T> values) {
		return values.get(random.nextInt(values.size()));
	}

	/**
	 * A change of one team in one share.
	 *
	 * @param kind whether the team is listed, released, claimed or removed
	 * @param team the team
	 * @param otherShare the other share of a release or claim
	 * @param lag how far the release number of a claim is behind the number of the other
	 * share
	 */
	private record Change(int kind, String team, String otherShare, int lag) {

		static final int LIST = 0;

		static final int RELEASE = 1;

		static final int CLAIM = 2;

		static final int REMOVE = 3;

	}

}
