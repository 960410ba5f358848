package io.fescuehold.core.agreement;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import io.fescuehold.core.error.ErrorCode;

/**
 * A simulated host: a disk, a clock with drift, a state machine and, while the process
 * runs, a replica.
 */
final class SimHost {

	static final int TICK_MS = 5;

	private static final int SNAPSHOT_PADDING_BYTES = 40;

	final String hostId;

	SimDisk disk;

	AgreementNode node;

	long pausedUntilMs;

	boolean syncsHang;

	int extraSyncMs;

	private final Simulation simulation;

	private double clockRate;

	private double clockOffsetMs;

	private int diskLosses;

	private int incarnation;

	private long stateHash;

	private boolean syncScheduled;

	SimHost(String hostId, Simulation simulation) {
		this.hostId = hostId;
		this.simulation = simulation;
		this.clockRate = 0.96 + 0.08 * simulation.random.nextDouble();
		this.clockOffsetMs = simulation.random.nextInt(100_000);
		this.disk = new SimDisk(hostId + "-0");
	}

	long clockMs() {
		return (long) (this.clockOffsetMs + this.simulation.nowMs * this.clockRate);
	}

	void setClockRate(double rate) {
		this.clockOffsetMs += this.simulation.nowMs * (this.clockRate - rate);
		this.clockRate = rate;
	}

	boolean isUp() {
		return this.node != null;
	}

	boolean isLeader() {
		return isUp() && this.node.role() == Role.LEADER;
	}

	void start() {
		StoredState stored = this.disk.load();
		this.stateHash = (stored.snapshot() != null) ? ByteBuffer.wrap(this.disk.snapshotData()).getLong() : 0;
		this.node = new AgreementNode(this.simulation.options(new ReplicaId(this.hostId, this.disk.storeId)), stored,
				new Random(this.simulation.random.nextLong()), clockMs());
		this.incarnation++;
		this.syncScheduled = false;
		scheduleTick(this.incarnation);
	}

	void crash() {
		this.node = null;
		this.incarnation++;
		this.disk.crash(this.simulation.random);
	}

	void crashLosingUnsynced() {
		this.disk.discardUnsynced();
		crash();
	}

	void resumeSyncs() {
		this.syncsHang = false;
		if (isUp()) {
			scheduleSync();
		}
	}

	void loseDisk() {
		crash();
		this.diskLosses++;
		this.disk = new SimDisk(this.hostId + "-" + this.diskLosses);
	}

	/**
	 * Runs an action on the event loop of the process. The action is deferred while the
	 * process is paused and dropped if the process has stopped or restarted since.
	 * @param delayMs the delay in milliseconds
	 * @param action the action
	 */
	void schedule(long delayMs, Runnable action) {
		int scheduledIncarnation = this.incarnation;
		this.simulation.schedule(delayMs, () -> runOrDefer(scheduledIncarnation, action));
	}

	void runNow(Runnable action) {
		action.run();
		process();
	}

	private void runOrDefer(int scheduledIncarnation, Runnable action) {
		if (!isUp() || this.incarnation != scheduledIncarnation) {
			return;
		}
		if (this.simulation.nowMs < this.pausedUntilMs) {
			this.simulation.schedule(this.pausedUntilMs - this.simulation.nowMs,
					() -> runOrDefer(scheduledIncarnation, action));
			return;
		}
		runNow(action);
	}

	private void scheduleTick(int tickedIncarnation) {
		schedule(TICK_MS, () -> {
			if (this.incarnation == tickedIncarnation) {
				this.node.tick(clockMs());
				scheduleTick(tickedIncarnation);
			}
		});
	}

	private void process() {
		boolean synced = true;
		while (synced && isUp()) {
			synced = false;
			List<Output> outputs = this.node.takeOutputs(clockMs());
			for (Output output : outputs) {
				synced |= execute(output);
			}
		}
		if (isUp()) {
			this.simulation.checker.observe(this.node);
		}
	}

	/**
	 * Executes an output.
	 * @param output the output
	 * @return whether it was acknowledged before its sync, as an injected fault
	 */
	private boolean execute(Output output) {
		switch (output) {
			case Output.Send send -> this.simulation.network.send(this.hostId, send.hostId(), send.message());
			case Output.SaveVote vote -> {
				boolean early = this.simulation.faults.voteBeforeSync() && !this.disk.hasUnsyncedEntries();
				return write(vote, vote.sequence(), early);
			}
			case Output.Append append -> {
				return write(append, append.sequence(), this.simulation.faults.appendBeforeSync());
			}
			case Output.InstallSnapshot install -> {
				this.stateHash = ByteBuffer.wrap(install.data()).getLong();
				this.simulation.checker.restored(install.snapshot(), this.stateHash);
				return write(install, install.sequence(), false);
			}
			case Output.TakeSnapshot take -> {
				this.disk.writeSnapshot(take, snapshot());
				scheduleSync();
			}
			case Output.SendSnapshotChunk chunk -> sendChunk(chunk);
			case Output.Apply apply -> {
				this.stateHash = HistoryChecker.hash(this.stateHash, apply.entry());
				this.simulation.checker.applied(apply.entry(), this.stateHash);
				this.simulation.clients.applied(apply.proposalId(), apply.entry().index());
			}
			case Output.ProposalFailed failed ->
				this.simulation.clients.proposalFailed(failed.proposalId(), failed.code());
			case Output.ReadGranted granted ->
				this.simulation.clients.readGranted(granted.readId(), this.node.appliedIndex());
			case Output.ReadFailed failed -> this.simulation.clients.readFailed(failed.readId(), failed.code());
			case Output.ChangeDone done -> this.simulation.clients.changeDone(done.commandId(), this.node);
			case Output.ChangeFailed failed ->
				this.simulation.clients.changeFailed(failed.commandId(), failed.code() == ErrorCode.MEMBERSHIP_REFUSED);
		}
		return false;
	}

	private boolean write(Output output, long sequence, boolean acknowledgeEarly) {
		this.disk.write(output);
		scheduleSync();
		if (acknowledgeEarly) {
			this.node.synced(clockMs(), sequence);
		}
		return acknowledgeEarly;
	}

	private void scheduleSync() {
		if (this.syncScheduled || this.syncsHang) {
			return;
		}
		this.syncScheduled = true;
		schedule(this.simulation.syncDelayMs() + this.extraSyncMs, () -> {
			this.syncScheduled = false;
			for (Output done : this.disk.sync()) {
				onSynced(done);
			}
		});
	}

	private void onSynced(Output done) {
		switch (done) {
			case Output.SaveVote vote -> this.node.synced(clockMs(), vote.sequence());
			case Output.Append append -> this.node.synced(clockMs(), append.sequence());
			case Output.InstallSnapshot install -> {
				if (install.sequence() > 0) {
					this.node.synced(clockMs(), install.sequence());
				}
				else {
					this.node.snapshotSaved(clockMs(), install.snapshot());
				}
			}
			default -> throw new IllegalArgumentException("Not a write: " + done);
		}
	}

	private byte[] snapshot() {
		return ByteBuffer.allocate(Long.BYTES + SNAPSHOT_PADDING_BYTES).putLong(this.stateHash).array();
	}

	private void sendChunk(Output.SendSnapshotChunk chunk) {
		SnapshotMeta stored = this.disk.snapshot();
		if (stored == null || stored.index() != chunk.snapshot().index()) {
			return;
		}
		byte[] data = this.disk.snapshotData();
		int offset = (int) Math.min(chunk.offset(), data.length);
		byte[] part = Arrays.copyOfRange(data, offset, Math.min(data.length, offset + chunk.maxBytes()));
		this.simulation.network.send(this.hostId, chunk.to().hostId(),
				new AgreementMessage.SnapshotChunk(Simulation.GROUP, this.node.self(), chunk.to(), chunk.term(), stored,
						offset, data.length, part, chunk.sentAtMs()));
	}

}
