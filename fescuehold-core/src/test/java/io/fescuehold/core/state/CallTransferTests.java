package io.fescuehold.core.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.fescuehold.config.ShareConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a call that is granted by two shares while its team is transferred
 * between them, including by routers with an outdated configuration or a delayed command.
 */
class CallTransferTests {

	private static final int STEPS = 200;

	// A whole run takes less than the retention of 100 s, so that no record expires and
	// no key may be granted again.
	private static final int MAX_STEP_MS = 100;

	private static final int KEYS = 3;

	private final TransferModel model = new TransferModel();

	private final Map<String, Set<Long>> grants = new HashMap<>();

	private final List<PendingCall> pending = new ArrayList<>();

	@ParameterizedTest
	@MethodSource("io.fescuehold.core.TestSeeds#many")
	void keyIsGrantedOnceWhateverTheTransfers(long seed) {
		run(seed);
	}

	@Test
	void randomRunsContainGrantsInSeveralShares() {
		int grantsAfterTransfer = 0;
		for (int seed = 0; seed < 30; seed++) {
			grantsAfterTransfer += run(seed);
		}
		assertThat(grantsAfterTransfer).isGreaterThan(10);
	}

	@Test
	void routerThatDoesNotKnowTheTransferIsNotGranted() {
		TestShare south = new TestShare("south");
		south.observe(TestShare.config("north", 2, TestShare.teams("parts"),
				List.of(TestShare.release("parts", "south")), List.of()));
		south.submit(TestShare.config("south", 1, TestShare.teams("parts"), List.of(),
				List.of(TestShare.claim("parts", "north", 2))), 0);
		assertThat(begin(south, "k", "")).isEqualTo(new CallOutcome.NotOwner());
		assertThat(begin(south, "k", "north 1")).isEqualTo(new CallOutcome.NotOwner());
		assertThat(begin(south, "k", "north 2")).isInstanceOf(CallOutcome.Granted.class);
	}

	private static CommandOutcome begin(TestShare share, String key, String askedUnder) {
		return share.apply(new StateCommand.BeginCall(TestShare.key(key), "digest", "depot", "router-1", 1_000_000, 0,
				"", askedUnder));
	}

	private int run(long seed) {
		Random random = new Random(seed);
		this.model.startWithTeams();
		this.grants.clear();
		this.pending.clear();
		int grantsAfterTransfer = 0;
		for (int step = 0; step < STEPS; step++) {
			this.model.step(random, MAX_STEP_MS);
			if (random.nextInt(4) == 0) {
				prepareCall(random);
			}
			if (!this.pending.isEmpty() && random.nextInt(4) == 0) {
				grantsAfterTransfer += deliver(this.pending.remove(random.nextInt(this.pending.size())));
			}
		}
		return grantsAfterTransfer;
	}

	// A router may have any configuration that was ever accepted. If that configuration
	// claims the team, the router queries the other shares first. Its command is
	// delivered in a later step.
	private void prepareCall(Random random) {
		String share = TransferModel.pick(random, TransferModel.SHARES);
		List<ShareConfig> known = this.model.accepted(share);
		ShareConfig config = random.nextBoolean() ? known.getLast() : TransferModel.pick(random, known);
		String key = "k" + random.nextInt(KEYS);
		String transferId = StateCommand.transferIdOf(config, "parts");
		boolean mayBegin = transferId.isEmpty() || TransferModel.SHARES.stream()
			.filter((other) -> !other.equals(share))
			.allMatch((other) -> this.model.group(other).lookup(key, this.model.nowMs()) instanceof StateOutcome.Done);
		if (mayBegin) {
			this.pending.add(new PendingCall(share, key, transferId));
		}
	}

	private int deliver(PendingCall call) {
		StateCommand.BeginCall command = new StateCommand.BeginCall(TestShare.key(call.key()), "digest", "depot",
				"router-1", this.model.nowMs() + 1_000_000, this.model.nowMs(), "", call.askedUnder());
		CommandOutcome outcome = this.model.group(call.share()).apply(command);
		if (!(outcome instanceof CallOutcome.Granted)) {
			return 0;
		}
		Set<Long> grantingShares = this.grants.computeIfAbsent(call.key(), (key) -> new HashSet<>());
		assertThat(grantingShares).as("grants of %s before the one in %s", call.key(), call.share()).isEmpty();
		grantingShares.add((long) TransferModel.SHARES.indexOf(call.share()));
		return call.askedUnder().isEmpty() ? 0 : 1;
	}

	/**
	 * A command that a router has sent and that has not been delivered.
	 *
	 * @param share the share that it was sent to
	 * @param key the key of the call
	 * @param askedUnder the transfer in the router's configuration when it queried the
	 * other shares
	 */
	private record PendingCall(String share, String key, String askedUnder) {

	}

}
