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
 * Guards against a call that two shares grant while its team moves between them, also for
 * routers whose configuration is old or whose command arrives late.
 */
class CallTransferTests {

	private static final int STEPS = 200;

	// Below the retention of 100 s over a whole run, so that no key may be granted again.
	private static final int MAX_STEP_MS = 100;

	private static final int KEYS = 3;

	private final TransferModel model = new TransferModel();

	private final Map<String, Set<Long>> grants = new HashMap<>();

	private final List<Pending> pending = new ArrayList<>();

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
	void routerThatHasNotLearnedOfATransferIsNotGranted() {
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
		int afterTransfer = 0;
		for (int step = 0; step < STEPS; step++) {
			this.model.step(random, MAX_STEP_MS);
			if (random.nextInt(4) == 0) {
				ask(random);
			}
			if (!this.pending.isEmpty() && random.nextInt(4) == 0) {
				afterTransfer += deliver(this.pending.remove(random.nextInt(this.pending.size())));
			}
		}
		return afterTransfer;
	}

	// A router with any configuration that was ever accepted asks the other shares, if
	// its configuration says that the team was taken over, and sends its command later.
	private void ask(Random random) {
		String share = TransferModel.pick(random, TransferModel.SHARES);
		List<ShareConfig> known = this.model.accepted(share);
		ShareConfig config = random.nextBoolean() ? known.getLast() : TransferModel.pick(random, known);
		String key = "k" + random.nextInt(KEYS);
		String transfer = StateCommand.transferOf(config, "parts");
		boolean mayBegin = transfer.isEmpty() || TransferModel.SHARES.stream()
			.filter((other) -> !other.equals(share))
			.allMatch((other) -> this.model.group(other).lookup(key, this.model.nowMs()) instanceof StateOutcome.Done);
		if (mayBegin) {
			this.pending.add(new Pending(share, key, transfer));
		}
	}

	private int deliver(Pending call) {
		StateCommand.BeginCall command = new StateCommand.BeginCall(TestShare.key(call.key()), "digest", "depot",
				"router-1", this.model.nowMs() + 1_000_000, this.model.nowMs(), "", call.askedUnder());
		CommandOutcome outcome = this.model.group(call.share()).apply(command);
		if (!(outcome instanceof CallOutcome.Granted)) {
			return 0;
		}
		Set<Long> places = this.grants.computeIfAbsent(call.key(), (key) -> new HashSet<>());
		assertThat(places).as("grants of %s before the one in %s", call.key(), call.share()).isEmpty();
		places.add((long) TransferModel.SHARES.indexOf(call.share()));
		return call.askedUnder().isEmpty() ? 0 : 1;
	}

	/**
	 * A command that a router has sent.
	 *
	 * @param share the share that it was sent to
	 * @param key the key of the call
	 * @param askedUnder the transfer under which the other shares were asked
	 */
	private record Pending(String share, String key, String askedUnder) {

	}

}
