package io.fescuehold.runtime.replica;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * A scheduler with a monotonic clock. Reactor's schedulers read the wall clock, and a
 * correction of it could make a leader's lease outlast the time for which its followers
 * refuse to elect another leader.
 */
public final class MonotonicScheduler implements Scheduler {

	private final Scheduler delegate;

	private final LongSupplier clockNs;

	/**
	 * Creates a scheduler with the clock {@link System#nanoTime()}.
	 * @param delegate the scheduler that runs the tasks
	 */
	public MonotonicScheduler(Scheduler delegate) {
		this(delegate, System::nanoTime);
	}

	/**
	 * Creates a scheduler with another clock, for example one that keeps running while
	 * the host is suspended.
	 * @param delegate the scheduler that runs the tasks
	 * @param clockNs a monotonic clock in nanoseconds
	 */
	public MonotonicScheduler(Scheduler delegate, LongSupplier clockNs) {
		this.delegate = delegate;
		this.clockNs = clockNs;
	}

	@Override
	public long now(TimeUnit unit) {
		return unit.convert(this.clockNs.getAsLong(), TimeUnit.NANOSECONDS);
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
