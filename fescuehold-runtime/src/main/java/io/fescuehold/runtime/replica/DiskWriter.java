package io.fescuehold.runtime.replica;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.fescuehold.core.agreement.Output;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaStorage;
import reactor.core.scheduler.Scheduler;

/**
 * Writes and syncs the storage of a replica on a dedicated thread. Writes that arrive
 * while a sync is running are made durable together by the next one. While the disk is
 * full, a failed write or sync is retried and later tasks wait; a snapshot of this
 * replica's state that does not fit is reported as failed. After any other error, such as
 * a failed sync, the storage is closed and no further write is executed or reported as
 * durable.
 */
final class DiskWriter {

	private static final long DISK_FULL_RETRY_MS = 200;

	private final ReplicaStorage storage;

	private final Scheduler.Worker worker;

	private final Listener listener;

	private final Timer syncTimer;

	private final Histogram writesPerSync;

	private final Queue<Task> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pendingTasks = new AtomicInteger();

	private Task currentTask;

	private long unsyncedSequence;

	private int unsyncedWrites;

	private boolean failed;

	DiskWriter(ReplicaStorage storage, Scheduler scheduler, Listener listener, MetricRegistry metrics, String prefix) {
		this.storage = storage;
		this.worker = scheduler.createWorker();
		this.listener = listener;
		this.syncTimer = metrics.timer(prefix + ".sync");
		this.writesPerSync = metrics.histogram(prefix + ".writesPerSync");
	}

	void write(Output.SaveVote vote) {
		add(() -> {
			this.storage.saveVote(vote.state());
			markUnsynced(vote.sequence());
		});
	}

	void write(Output.Append append) {
		add(() -> {
			this.storage.append(append.fromIndex(), append.entries());
			markUnsynced(append.sequence());
		});
	}

	void write(Output.InstallSnapshot install) {
		add(() -> {
			this.storage.saveSnapshot(install.snapshot(), install.data(), install.snapshot().index() + 1,
					install.keepLog());
			markUnsynced(install.sequence());
		});
	}

	void write(Output.TakeSnapshot take, Supplier<byte[]> data) {
		add(() -> {
			syncUnsyncedWrites();
			try {
				this.storage.saveSnapshot(take.snapshot(), data.get(), take.keepFromIndex(), true);
			}
			catch (FescueholdException ex) {
				if (ex.code() != ErrorCode.STORAGE_FULL) {
					throw ex;
				}
				this.listener.snapshotFailed();
				return;
			}
			this.listener.snapshotSaved(take.snapshot());
		});
	}

	/**
	 * Queues a read of the storage behind the writes accepted so far.
	 * @param read the read
	 */
	void read(Runnable read) {
		add(read::run);
	}

	/**
	 * Closes the storage after the writes accepted so far.
	 * @param closed called when the storage is closed
	 */
	void close(Runnable closed) {
		add(() -> {
			try {
				syncUnsyncedWrites();
			}
			finally {
				this.failed = true;
				try {
					this.storage.close();
				}
				finally {
					closed.run();
					this.worker.dispose();
				}
			}
		});
	}

	private void add(Task task) {
		this.tasks.add(task);
		if (this.pendingTasks.getAndIncrement() == 0) {
			this.worker.schedule(this::run);
		}
	}

	private void run() {
		int completed = 0;
		try {
			this.currentTask = (this.currentTask != null) ? this.currentTask : this.tasks.poll();
			while (this.currentTask != null && !this.failed) {
				this.currentTask.run();
				completed++;
				this.currentTask = this.tasks.poll();
			}
			if (!this.failed) {
				syncUnsyncedWrites();
			}
		}
		catch (FescueholdException ex) {
			if (!this.failed) {
				onError(ex, completed);
			}
			return;
		}
		catch (RuntimeException ex) {
			fail(ex);
			return;
		}
		if (this.pendingTasks.addAndGet(-completed) > 0) {
			this.worker.schedule(this::run);
		}
	}

	private void onError(FescueholdException error, int completed) {
		if (error.code() != ErrorCode.STORAGE_FULL) {
			fail(error);
			return;
		}
		// All tasks have run and only the sync failed. A task that does nothing keeps
		// pendingTasks above zero, so that no other thread schedules a second run.
		if (this.currentTask == null) {
			this.currentTask = () -> {
			};
			this.pendingTasks.incrementAndGet();
		}
		this.pendingTasks.addAndGet(-completed);
		this.worker.schedule(this::run, DISK_FULL_RETRY_MS, TimeUnit.MILLISECONDS);
	}

	private void fail(RuntimeException error) {
		this.failed = true;
		try {
			this.storage.close();
		}
		finally {
			this.listener.failed(error);
		}
	}

	private void markUnsynced(long sequence) {
		this.unsyncedSequence = sequence;
		this.unsyncedWrites++;
	}

	private void syncUnsyncedWrites() {
		if (this.unsyncedWrites == 0) {
			return;
		}
		try (Timer.Context measured = this.syncTimer.time()) {
			this.storage.sync();
		}
		this.writesPerSync.update(this.unsyncedWrites);
		this.unsyncedWrites = 0;
		this.listener.synced(this.unsyncedSequence);
	}

	/**
	 * A task of the disk thread.
	 */
	@FunctionalInterface
	private interface Task {

		void run();

	}

	/**
	 * Receives the results of writes and syncs. Called on the disk thread.
	 */
	interface Listener {

		void synced(long sequence);

		void snapshotSaved(SnapshotMeta snapshot);

		void snapshotFailed();

		void failed(RuntimeException error);

	}

}
