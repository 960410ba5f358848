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
 * Writes and syncs on a thread of its own. All writes that arrive while a sync runs share
 * the next one. While the disk is full, writes wait and are tried again; after a failed
 * sync nothing is written or reported any more.
 */
final class DiskWriter {

	private static final long FULL_RETRY_MS = 200;

	private final ReplicaStorage storage;

	private final Scheduler.Worker worker;

	private final Listener listener;

	private final Timer syncTimer;

	private final Histogram writesPerSync;

	private final Queue<Task> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger count = new AtomicInteger();

	private Task current;

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
			buffered(vote.sequence());
		});
	}

	void write(Output.Append append) {
		add(() -> {
			this.storage.append(append.fromIndex(), append.entries());
			buffered(append.sequence());
		});
	}

	void write(Output.InstallSnapshot install) {
		add(() -> {
			this.storage.saveSnapshot(install.snapshot(), install.data(), install.snapshot().index() + 1,
					install.keepLog());
			buffered(install.sequence());
		});
	}

	void write(Output.TakeSnapshot take, Supplier<byte[]> data) {
		add(() -> {
			syncBuffered();
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
	 * Runs a read of the storage between writes.
	 * @param read the read
	 */
	void read(Runnable read) {
		add(read::run);
	}

	/**
	 * Completes the writes that were accepted and closes the storage.
	 * @param closed called when the storage is closed
	 */
	void close(Runnable closed) {
		add(() -> {
			try {
				syncBuffered();
			}
			finally {
				this.storage.close();
				this.failed = true;
				closed.run();
				this.worker.dispose();
			}
		});
	}

	private void add(Task task) {
		this.tasks.add(task);
		if (this.count.getAndIncrement() == 0) {
			this.worker.schedule(this::run);
		}
	}

	private void run() {
		int done = 0;
		try {
			this.current = (this.current != null) ? this.current : this.tasks.poll();
			while (this.current != null && !this.failed) {
				this.current.run();
				done++;
				this.current = this.tasks.poll();
			}
			if (!this.failed) {
				syncBuffered();
			}
		}
		catch (FescueholdException ex) {
			if (!this.failed) {
				onError(ex, done);
			}
			return;
		}
		catch (RuntimeException ex) {
			stop(ex);
			return;
		}
		if (this.count.addAndGet(-done) > 0) {
			this.worker.schedule(this::run);
		}
	}

	private void onError(FescueholdException error, int done) {
		if (error.code() != ErrorCode.STORAGE_FULL) {
			stop(error);
			return;
		}
		// Keeping one in the count keeps other threads from scheduling a second run.
		if (this.current == null) {
			this.current = () -> {
			};
			this.count.incrementAndGet();
		}
		this.count.addAndGet(-done);
		this.worker.schedule(this::run, FULL_RETRY_MS, TimeUnit.MILLISECONDS);
	}

	private void stop(RuntimeException error) {
		this.failed = true;
		this.storage.close();
		this.listener.failed(error);
	}

	private void buffered(long sequence) {
		this.unsyncedSequence = sequence;
		this.unsyncedWrites++;
	}

	private void syncBuffered() {
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
	 * Is told what became durable. Called on the disk thread.
	 */
	interface Listener {

		void synced(long sequence);

		void snapshotSaved(SnapshotMeta snapshot);

		void snapshotFailed();

		void failed(RuntimeException error);

	}

}
