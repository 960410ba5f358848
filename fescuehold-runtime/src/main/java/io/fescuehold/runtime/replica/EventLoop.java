package io.fescuehold.runtime.replica;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import reactor.core.scheduler.Scheduler;

/**
 * Executes events one at a time and runs a callback after each batch, so that the results
 * of events that arrive together are processed once.
 */
final class EventLoop {

	private static final int MAX_BATCH_EVENTS = 1_000;

	private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pendingEvents = new AtomicInteger();

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
	 * Queues an event.
	 * @param event the event
	 * @return whether the event will be executed; false once the loop has been stopped
	 */
	boolean execute(Runnable event) {
		if (this.stopped) {
			return false;
		}
		this.events.add(event);
		if (this.pendingEvents.getAndIncrement() == 0) {
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
	 * Stops the loop once the events accepted so far have been executed. Must be called
	 * by an event.
	 */
	void stop() {
		this.stopped = true;
	}

	private void runBatch() {
		int executed = 0;
		Runnable event = this.events.poll();
		while (event != null) {
			event.run();
			executed++;
			event = (executed < MAX_BATCH_EVENTS || this.stopped) ? this.events.poll() : null;
		}
		this.afterBatch.run();
		if (this.pendingEvents.addAndGet(-executed) > 0) {
			this.worker.schedule(this::runBatch);
		}
		else if (this.stopped) {
			this.worker.dispose();
		}
	}

}
