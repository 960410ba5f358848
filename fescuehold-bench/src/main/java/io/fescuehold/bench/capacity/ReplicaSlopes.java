package io.fescuehold.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import io.fescuehold.config.ConfigJson;
import io.fescuehold.config.ShareConfig;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.ShareStateMachine;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StoredAnswer;
import io.fescuehold.runtime.control.MessagePackStateCodec;

/**
 * Measures how the heap, snapshots and command execution times of a replica grow.
 */
final class ReplicaSlopes {

	private static final long NOW_MS = 1_800_000_000_000L;

	private static final int TARGET_SERVERS = 600;

	private static final int TARGET_TEAMS = 760;

	private static final int TARGET_RECORDS = 50_000;

	private static final int[] RECORDS = { 10_000, 20_000, 40_000 };

	private static final int[] TEAMS = { 190, 380, 760 };

	private static final int[] CHANGES = { 200, 400, 800 };

	private static final int CHANGES_PER_DAY = 410;

	private static final int ANSWER_BYTES = 200;

	private static final MessagePackStateCodec CODEC = new MessagePackStateCodec();

	private ReplicaSlopes() {
	}

	static List<Slope> all() {
		return List.of(
				new Slope("replica heap, call records of 200-byte answers", "records", "bytes", RECORDS, TARGET_RECORDS,
						(records) -> Meter.heapBytes(() -> machineWithRecords(records))),
				new Slope("snapshot, call records of 200-byte answers", "records", "bytes", RECORDS, TARGET_RECORDS,
						(records) -> machineWithRecords(records).snapshot().length),
				new Slope("replica heap, digests of accepted numbers", "changes", "bytes", CHANGES, CHANGES_PER_DAY,
						(changes) -> Meter.heapBytes(() -> machineWithChanges(changes))),
				new Slope("configuration, canonical JSON", "teams", "bytes", TEAMS, TARGET_TEAMS,
						(teams) -> ConfigJson.canonicalBytes(Samples.config(TARGET_SERVERS, teams, 1)).length),
				new Slope("submission applied", "teams", "us", TEAMS, TARGET_TEAMS, ReplicaSlopes::submitTimeUs),
				new Slope("begin and complete of a call", "records", "us", RECORDS, TARGET_RECORDS,
						ReplicaSlopes::callTimeUs));
	}

	private static ShareStateMachine machine(int servers, int teams) {
		ShareStateMachine machine = new ShareStateMachine(Samples.SHARE, CODEC, (config) -> {
		});
		submit(machine, Samples.config(servers, teams, 1));
		return machine;
	}

	private static void submit(ShareStateMachine machine, ShareConfig config) {
		byte[] command = CODEC
			.encodeCommand(new StateCommand.Submit(ConfigJson.canonicalBytes(config), "bench", NOW_MS));
		machine.apply(config.number(), command);
	}

	private static ShareStateMachine machineWithRecords(int records) {
		ShareStateMachine machine = machine(10, 10);
		for (int i = 0; i < records; i++) {
			beginAndComplete(machine, i);
		}
		return machine;
	}

	private static void beginAndComplete(ShareStateMachine machine, int index) {
		CallKey key = new CallKey("team-" + index % 10, "order-2026-12-04-" + index);
		byte[] begin = CODEC
			.encodeCommand(new StateCommand.BeginCall(key, "0".repeat(64), "jobs", "entry-1", NOW_MS + 5_000, NOW_MS));
		if (!(CODEC.decodeOutcome(machine.apply(10L + 2L * index, begin)) instanceof CallOutcome.Granted granted)) {
			throw new IllegalStateException("The state machine did not grant the call");
		}
		StoredAnswer answer = new StoredAnswer(200, Map.of("content-type", "application/json"),
				"x".repeat(ANSWER_BYTES).getBytes(StandardCharsets.UTF_8), false);
		machine.apply(11L + 2L * index,
				CODEC.encodeCommand(new StateCommand.CompleteCall(key, granted.fencingNumber(), answer, NOW_MS)));
	}

	private static ShareStateMachine machineWithChanges(int changes) {
		ShareStateMachine machine = machine(10, 10);
		for (int number = 2; number <= changes; number++) {
			submit(machine, Samples.config(10, 10, number));
		}
		return machine;
	}

	private static double submitTimeUs(int teams) {
		ShareStateMachine machine = machine(TARGET_SERVERS, teams);
		long[] number = { 1 };
		return Meter.timeUs(10, () -> submit(machine, Samples.config(TARGET_SERVERS, teams, ++number[0])));
	}

	private static double callTimeUs(int records) {
		ShareStateMachine machine = machineWithRecords(records);
		int[] next = { records };
		return Meter.timeUs(500, () -> beginAndComplete(machine, next[0]++));
	}

}
