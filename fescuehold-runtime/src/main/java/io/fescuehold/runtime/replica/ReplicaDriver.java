package io.fescuehold.runtime.replica;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.core.agreement.AgreementMessage;
import io.fescuehold.core.agreement.AgreementNode;
import io.fescuehold.core.agreement.AgreementOptions;
import io.fescuehold.core.agreement.EntryKind;
import io.fescuehold.core.agreement.Output;
import io.fescuehold.core.agreement.ReplicaId;
import io.fescuehold.core.agreement.Role;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.agreement.StoredState;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaStorage;
import io.fescuehold.core.port.ReplicatedStateMachine;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Passes messages, ticks and completed writes to an {@link AgreementNode} and executes
 * its outputs. Runs on the event loop.
 */
final class ReplicaDriver {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long SNAPSHOT_RETRY_MS = 1_000;

	private final ReplicaOptions options;

	private final AgreementTransport transport;

	private final ReplicatedStateMachine stateMachine;

	private final EventLoop loop;

	private final PendingRequests pendingRequests;

	private final Meter appliedMeter;

	private final Counter failures;

	private final List<LongConsumer> appliedListeners = new CopyOnWriteArrayList<>();

	private final Sinks.One<Throwable> failure = Sinks.one();

	private ReplicaStorage storage;

	private DiskWriter writer;

	private AgreementNode node;

	private boolean running;

	private long reportedAppliedIndex;

	private volatile ReplicaStatus status;

	ReplicaDriver(ReplicaOptions options, AgreementTransport transport, ReplicatedStateMachine stateMachine,
			Scheduler scheduler, Meter appliedMeter, Counter failures) {
		this.options = options;
		this.transport = transport;
		this.stateMachine = stateMachine;
		this.loop = new EventLoop(scheduler, this::processOutputs);
		this.pendingRequests = new PendingRequests(options.group());
		this.status = ReplicaStatus.notStarted(options.hostId());
		this.appliedMeter = appliedMeter;
		this.failures = failures;
	}

	EventLoop loop() {
		return this.loop;
	}

	PendingRequests pendingRequests() {
		return this.pendingRequests;
	}

	AgreementNode node() {
		return this.node;
	}

	ReplicaStorage storage() {
		return this.storage;
	}

	ReplicaStatus status() {
		return this.status;
	}

	Sinks.One<Throwable> failure() {
		return this.failure;
	}

	boolean isRunning() {
		return this.running;
	}

	boolean isLeading() {
		return this.running && this.node.role() == Role.LEADER;
	}

	void onApplied(LongConsumer listener) {
		this.appliedListeners.add(listener);
	}

	void start(OpenedStore opened, long seed, Scheduler diskScheduler, MetricRegistry metrics, String metricPrefix) {
		this.storage = opened.storage();
		if (opened.snapshot() != null) {
			this.stateMachine.restore(opened.snapshot());
		}
		ReplicaId self = new ReplicaId(this.options.hostId(), this.storage.storeId());
		AgreementOptions nodeOptions = new AgreementOptions(this.options.group(), self, this.options.initialHostIds(),
				this.options.failureDomains(), this.options.timing(), AgreementOptions.DEFAULT_KEEP_ENTRIES,
				AgreementOptions.DEFAULT_MAX_BATCH_BYTES, AgreementOptions.DEFAULT_MAX_LOG_BYTES,
				AgreementOptions.DEFAULT_MAX_IN_FLIGHT_ENTRIES);
		this.writer = new DiskWriter(this.storage, diskScheduler, new DiskListener(), metrics, metricPrefix);
		this.node = new AgreementNode(nodeOptions, opened.state(), new Random(seed), this.loop.nowMs(),
				Math.min(this.loop.nowMs(), this.options.silentSinceMs()));
		this.running = true;
		this.transport.addReceiver(this.options.group(),
				(message) -> this.loop.execute(() -> runIfRunning((now) -> this.node.receive(now, message))));
		this.loop.executeEvery(Math.max(1, this.options.timing().heartbeatMs() / 2),
				() -> runIfRunning((now) -> this.node.tick(now)));
		logger.atInfo()
			.log("Replica of group %s started as %s at index %d", this.options.group(), self, this.node.lastIndex());
	}

	/**
	 * Stops the replica: executes the outputs produced so far, fails the pending requests
	 * and closes the store.
	 * @param closed called on the event loop when the store is closed, or at once if the
	 * replica is not running
	 */
	void stop(Runnable closed) {
		processOutputs();
		if (!this.running) {
			closed.run();
			return;
		}
		this.running = false;
		this.transport.removeReceiver(this.options.group());
		this.pendingRequests.failAll("the replica is stopping", "unknown, and this replica is stopping");
		this.writer.close(() -> this.loop.execute(closed));
	}

	/**
	 * Cuts the log of a replica whose disk is full, and examines the disk again. Nothing
	 * else would do so while proposals are refused.
	 */
	void makeSpace() {
		this.node.compact(this.loop.nowMs());
		this.writer.read(this.storage::checkSpace);
	}

	FescueholdException error(ErrorCode code, String reason) {
		return switch (code) {
			case NOT_LEADER -> {
				boolean known = this.node != null && this.node.leader() != null;
				yield this.pendingRequests.error(code, known ? this.node.leader().hostId() : null);
			}
			case OUTCOME_UNKNOWN ->
				this.pendingRequests.error(code, (reason != null) ? reason : "the leadership changed");
			case MEMBERSHIP_REFUSED ->
				new FescueholdException(code, "of group \"" + this.options.group() + "\"", reason);
			default -> this.pendingRequests.error(code, reason);
		};
	}

	private void processOutputs() {
		if (!this.running) {
			return;
		}
		Role previousRole = this.status.role();
		try {
			for (Output output : this.node.takeOutputs(this.loop.nowMs())) {
				execute(output);
			}
		}
		catch (RuntimeException ex) {
			fail(ex);
			return;
		}
		this.status = ReplicaStatus.of(this.node);
		if (previousRole != this.status.role()) {
			logger.atInfo()
				.log("Replica of group %s is %s in term %d", this.options.group(), this.status.role(),
						this.status.term());
		}
		if (this.status.appliedIndex() > this.reportedAppliedIndex) {
			this.reportedAppliedIndex = this.status.appliedIndex();
			this.appliedListeners.forEach((listener) -> listener.accept(this.reportedAppliedIndex));
		}
	}

	private void execute(Output output) {
		switch (output) {
			case Output.Send send -> this.transport.send(send.hostId(), send.message());
			case Output.SaveVote vote -> this.writer.write(vote);
			case Output.Append append -> this.writer.write(append);
			case Output.InstallSnapshot install -> {
				this.stateMachine.restore(install.data());
				this.writer.write(install);
			}
			case Output.TakeSnapshot take -> this.writer.write(take, this.stateMachine.captureSnapshot());
			case Output.SendSnapshotChunk chunk -> sendChunk(chunk);
			case Output.Apply apply -> apply(apply);
			case Output.ProposalFailed failed ->
				this.pendingRequests.fail(failed.proposalId(), error(failed.code(), null));
			case Output.ReadGranted granted -> this.pendingRequests.complete(granted.readId());
			case Output.ReadFailed failed -> this.pendingRequests.fail(failed.readId(), error(failed.code(), null));
			case Output.ChangeDone done -> this.pendingRequests.complete(done.commandId());
			case Output.ChangeFailed failed ->
				this.pendingRequests.fail(failed.commandId(), error(failed.code(), failed.reason()));
		}
	}

	private void apply(Output.Apply apply) {
		if (apply.entry().kind() != EntryKind.COMMAND) {
			return;
		}
		byte[] outcome = this.stateMachine.apply(apply.entry().index(), apply.entry().data());
		this.appliedMeter.mark();
		if (apply.proposalId() != 0) {
			this.pendingRequests.completeProposal(apply.proposalId(), outcome);
		}
	}

	private void sendChunk(Output.SendSnapshotChunk chunk) {
		ReplicaId self = this.node.self();
		this.writer.read(() -> {
			ReplicaStorage.SnapshotPart part = this.storage.readSnapshot(chunk.snapshot().index(), chunk.offset(),
					chunk.maxBytes());
			if (part != null) {
				this.transport.send(chunk.to().hostId(),
						new AgreementMessage.SnapshotChunk(this.options.group(), self, chunk.to(), chunk.term(),
								chunk.snapshot(), chunk.offset(), part.totalBytes(), part.data(), chunk.sentAtMs()));
			}
		});
	}

	private void fail(RuntimeException error) {
		fail(error, false);
	}

	private void fail(RuntimeException error, boolean storeClosed) {
		if (!this.running) {
			if (storeClosed) {
				this.failure.tryEmitValue(error);
			}
			return;
		}
		this.running = false;
		this.transport.removeReceiver(this.options.group());
		String reason = String.valueOf(error.getMessage());
		this.status = this.status.withFailure(reason);
		this.failures.inc();
		this.pendingRequests.failAll(reason, this.status.describeLeader());
		logger.atSevere().withCause(error).log("Replica of group %s stopped after an error", this.options.group());
		if (storeClosed) {
			this.failure.tryEmitValue(error);
		}
		else {
			this.writer.close(() -> this.loop.execute(() -> this.failure.tryEmitValue(error)));
		}
	}

	private void runIfRunning(LongConsumer event) {
		if (!this.running) {
			return;
		}
		try {
			event.accept(this.loop.nowMs());
		}
		catch (RuntimeException ex) {
			fail(ex);
		}
	}

	/**
	 * An open store and the content read from it.
	 *
	 * @param storage the store
	 * @param state the state read from the store
	 * @param snapshot the newest snapshot, or null
	 */
	record OpenedStore(ReplicaStorage storage, StoredState state, byte[] snapshot) {
	}

	/**
	 * Forwards the callbacks of the disk thread to the event loop.
	 */
	private final class DiskListener implements DiskWriter.Listener {

		@Override
		public void synced(long sequence) {
			ReplicaDriver.this.loop.execute(() -> runIfRunning((now) -> ReplicaDriver.this.node.synced(now, sequence)));
		}

		@Override
		public void snapshotSaved(SnapshotMeta snapshot) {
			ReplicaDriver.this.loop
				.execute(() -> runIfRunning((now) -> ReplicaDriver.this.node.snapshotSaved(now, snapshot)));
		}

		@Override
		public void snapshotFailed() {
			ReplicaDriver.this.loop.executeAfter(SNAPSHOT_RETRY_MS,
					() -> runIfRunning((now) -> ReplicaDriver.this.node.snapshotFailed(now)));
		}

		@Override
		public void failed(RuntimeException error) {
			ReplicaDriver.this.loop.execute(() -> fail(error, true));
		}

	}

}
