package io.fescuehold.runtime.replica;

import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * A scheduler whose clock never goes back. Reactor's schedulers read the wall clock,
 * whose corrections could make a leader's lease outlast the promises of its followers.
 */
public final class MonotonicScheduler implements Scheduler {

	private final Scheduler delegate;

	/**
	 * Creates a scheduler.
	 * @param delegate the scheduler that runs the tasks
	 */
	public MonotonicScheduler(Scheduler delegate) {
		this.delegate = delegate;
	}

	@Override
	public long now(TimeUnit unit) {
		return unit.convert(System.nanoTime(), TimeUnit.NANOSECONDS);
	}

	@Override
	public Disposable schedule(Runnable task) {
		return this.delegate.schedule(task);
	}

	@Override
	public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
		return this.delegate.schedule(task, delay, unit);
	}

	@Override
	public Disposable schedulePeriodically(Runnable task, long initialDelay, long period, TimeUnit unit) {
		return this.delegate.schedulePeriodically(task, initialDelay, period, unit);
	}

	@Override
	public Worker createWorker() {
		return this.delegate.createWorker();
	}

	@Override
	public void dispose() {
		this.delegate.dispose();
	}

	@Override
	public boolean isDisposed() {
		return this.delegate.isDisposed();
	}

}
