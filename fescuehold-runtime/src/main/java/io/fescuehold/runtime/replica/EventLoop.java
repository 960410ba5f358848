package io.fescuehold.runtime.replica;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.scheduler.Scheduler;

/**
 * Runs events one at a time and calls back after each batch of events, so that events
 * that arrive together share one step.
 */
final class EventLoop {

	private static final int BATCH_LIMIT = 1_000;

	private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();

	private final AtomicInteger count = new AtomicInteger();

	private final Scheduler scheduler;

	private final Scheduler.Worker worker;

	private final Runnable afterBatch;

	private volatile boolean stopped;

	EventLoop(Scheduler scheduler, Runnable afterBatch) {
		this.scheduler = scheduler;
		this.worker = scheduler.createWorker();
		this.afterBatch = afterBatch;
	}

	long nowMs() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs an event.
	 * @param event the event
	 * @return whether the event will run; false once the loop has been stopped
	 */
	boolean execute(Runnable event) {
		if (this.stopped) {
			return false;
		}
		this.events.add(event);
		if (this.count.getAndIncrement() == 0) {
			this.worker.schedule(this::runBatch);
		}
		return true;
	}

	void executeEvery(long periodMs, Runnable event) {
		this.worker.schedulePeriodically(() -> execute(event), 0, periodMs, TimeUnit.MILLISECONDS);
	}

	void executeAfter(long delayMs, Runnable event) {
		this.worker.schedule(() -> execute(event), delayMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stops the loop after the events that were accepted. Called by an event.
	 */
	void stop() {
		this.stopped = true;
	}

	private void runBatch() {
		int done = 0;
		Runnable event = this.events.poll();
		while (event != null) {
			event.run();
			done++;
			event = (done < BATCH_LIMIT || this.stopped) ? this.events.poll() : null;
		}
		this.afterBatch.run();
		if (this.count.addAndGet(-done) > 0) {
			this.worker.schedule(this::runBatch);
		}
		else if (this.stopped) {
			this.worker.dispose();
		}
	}

}
