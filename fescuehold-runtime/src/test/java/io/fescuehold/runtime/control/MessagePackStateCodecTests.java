package io.fescuehold.runtime.control;

import java.util.List;
import java.util.Map;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.CommandOutcome;
import io.fescuehold.core.state.ShareStateMachine;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.state.StoredAnswer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against commands, outcomes or snapshots that are changed by encoding and
 * decoding.
 */
class MessagePackStateCodecTests {

	private static final CallKey KEY = new CallKey("parts", "order-1");

	private final MessagePackStateCodec codec = new MessagePackStateCodec();

	static List<StateCommand> commands() {
		StoredAnswer answer = new StoredAnswer(201, Map.of("Location", "/1"), new byte[] { 1, 2 }, false);
		return List.of(new StateCommand.Submit(new byte[] { 1 }, "mere", 5),
				new StateCommand.BeginCall(KEY, "digest", "depot", "r1", 9, 5, "a1", "south 2"),
				new StateCommand.LookupCall(KEY, "digest", 5), new StateCommand.CompleteCall(KEY, 7, answer, 5),
				new StateCommand.MarkNotRun(KEY, 7, 5), new StateCommand.MarkUnknown(KEY, 7, 5),
				new StateCommand.AcquireOrderLease("s1", "r1", true, 1_000, 5),
				new StateCommand.ObserveShare(new byte[] { 1 }));
	}

	static List<CommandOutcome> outcomes() {
		return List.of(new CallOutcome.Granted(7), new CallOutcome.InProgress(5), new CallOutcome.Unknown(),
				new CallOutcome.DigestMismatch(), new CallOutcome.StoreFull(3, 5), new CallOutcome.NotOwner(),
				new StateOutcome.Submitted(1, "d", 5), new StateOutcome.SubmissionConflict(1, "d", "mere", 5, 2),
				new StateOutcome.SubmissionRefused("SUBMISSION_INVALID", "/teams", "reason; remedy"),
				new StateOutcome.LeaseGranted(7, 5), new StateOutcome.LeaseHeld("r1", 5), new StateOutcome.Done());
	}

	@ParameterizedTest
	@MethodSource("commands")
	void decodedCommandEqualsEncodedCommand(StateCommand command) {
		assertThat(this.codec.decodeCommand(this.codec.encodeCommand(command))).usingRecursiveComparison()
			.isEqualTo(command);
	}

	@ParameterizedTest
	@MethodSource("outcomes")
	void decodedOutcomeEqualsEncodedOutcome(CommandOutcome outcome) {
		assertThat(this.codec.decodeOutcome(this.codec.encodeOutcome(outcome))).isEqualTo(outcome);
	}

	@Test
	void snapshotRestoresTheSameState() {
		ShareStateMachine machine = new ShareStateMachine("north", this.codec, (config) -> {
		});
		List<StateCommand> log = List.of(submit(Configs.teams("north", 1, "parts", "repairs")),
				new StateCommand.BeginCall(KEY, "digest", "depot", "r1", 90, 50, "a1", ""),
				new StateCommand.CompleteCall(KEY, 2, new StoredAnswer(200, Map.of(), new byte[] { 4 }, false), 60),
				new StateCommand.ObserveShare(ConfigJson.canonicalBytes(Configs.teams("south", 3, "tours"))),
				submit(Configs.releasing("north", 2, "parts", "south")));
		for (int i = 0; i < log.size(); i++) {
			machine.apply(i + 1, this.codec.encodeCommand(log.get(i)));
		}
		ShareStateMachine restored = new ShareStateMachine("north", this.codec, (config) -> {
		});
		restored.restore(machine.snapshot());
		assertThat(restored.snapshot()).isEqualTo(machine.snapshot());
		assertThat(restored.config()).isEqualTo(machine.config());
		assertThat(restored.observedNumber("south")).isEqualTo(3);
		byte[] lookup = this.codec.encodeCommand(new StateCommand.LookupCall(KEY, "digest", 70));
		assertThat(restored.apply(9, lookup)).isEqualTo(machine.apply(9, lookup));
	}

	private static StateCommand submit(ShareConfig config) {
		return new StateCommand.Submit(ConfigJson.canonicalBytes(config), "mere", 10);
	}

}
