package io.fescuehold.runtime.backend;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.fescuehold.core.stream.StallDetector;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;
import reactor.core.publisher.Operators;
import reactor.core.scheduler.Scheduler;
import reactor.util.context.Context;

/**
 * Fails a response when its server sends nothing for too long. Time without demand does
 * not count, because backpressure from a slow caller stops the router from reading.
 *
 * @param <T> the type of the elements
 */
public final class StallGuard<T> extends FluxOperator<T, T> {

	private static final long CHECK_INTERVAL_MS = 100;

	private final StallDetector detector;

	private final Scheduler scheduler;

	private final LongSupplier clockMs;

	/**
	 * Creates a guard for a response.
	 * @param source the response
	 * @param detector the stall detector, not shared with other responses
	 * @param scheduler the scheduler of the checks
	 * @param clockMs the clock in milliseconds
	 */
	public StallGuard(Flux<T> source, StallDetector detector, Scheduler scheduler, LongSupplier clockMs) {
		super(source);
		this.detector = detector;
		this.scheduler = scheduler;
		this.clockMs = clockMs;
	}

	@Override
	public void subscribe(CoreSubscriber<? super T> actual) {
		this.source.subscribe(new GuardedSubscriber(Operators.serialize(actual)));
	}

	/**
	 * One guarded subscription.
	 */
	private final class GuardedSubscriber implements CoreSubscriber<T>, Subscription {

		private final CoreSubscriber<? super T> actual;

		private Subscription upstream;

		private Disposable periodicCheck;

		private long demand;

		private boolean terminated;

		GuardedSubscriber(CoreSubscriber<? super T> actual) {
			this.actual = actual;
		}

		@Override
		public Context currentContext() {
			return this.actual.currentContext();
		}

		@Override
		public void onSubscribe(Subscription subscription) {
			this.upstream = subscription;
			Disposable scheduled = StallGuard.this.scheduler.schedulePeriodically(this::check, CHECK_INTERVAL_MS,
					CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
			boolean alreadyTerminated;
			synchronized (this) {
				this.periodicCheck = scheduled;
				alreadyTerminated = this.terminated;
			}
			if (alreadyTerminated) {
				scheduled.dispose();
			}
			this.actual.onSubscribe(this);
		}

		@Override
		public void onNext(T element) {
			synchronized (this) {
				if (this.terminated) {
					Operators.onNextDropped(element, currentContext());
					return;
				}
				this.demand = (this.demand == Long.MAX_VALUE) ? this.demand : this.demand - 1;
				StallGuard.this.detector.bytesReceived(StallGuard.this.clockMs.getAsLong());
			}
			this.actual.onNext(element);
		}

		@Override
		public void onError(Throwable error) {
			if (tryTerminate()) {
				this.actual.onError(error);
			}
		}

		@Override
		public void onComplete() {
			if (tryTerminate()) {
				this.actual.onComplete();
			}
		}

		@Override
		public void request(long count) {
			synchronized (this) {
				if (this.demand == 0) {
					StallGuard.this.detector.readingResumed(StallGuard.this.clockMs.getAsLong());
				}
				this.demand = Operators.addCap(this.demand, count);
			}
			this.upstream.request(count);
		}

		@Override
		public void cancel() {
			tryTerminate();
			this.upstream.cancel();
		}

		private void check() {
			long silentMs;
			synchronized (this) {
				long nowMs = StallGuard.this.clockMs.getAsLong();
				boolean stalled = StallGuard.this.detector.check(nowMs);
				if (this.terminated || this.demand == 0 || !stalled) {
					return;
				}
				silentMs = StallGuard.this.detector.silentMs(nowMs);
			}
			if (tryTerminate()) {
				this.upstream.cancel();
				this.actual.onError(new BackendFailure(BackendFailure.Kind.STALLED,
						"no data arrived for " + silentMs + " ms", null));
			}
		}

		private boolean tryTerminate() {
			Disposable scheduled;
			synchronized (this) {
				if (this.terminated) {
					return false;
				}
				this.terminated = true;
				scheduled = this.periodicCheck;
			}
			if (scheduled != null) {
				scheduled.dispose();
			}
			return true;
		}

	}

}
