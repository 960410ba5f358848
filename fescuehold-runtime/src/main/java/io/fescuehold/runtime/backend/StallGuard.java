package io.fescuehold.runtime.backend;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.fescuehold.core.stream.StallWatch;
import org.reactivestreams.Subscription;
import reactor.core.CoreSubscriber;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxOperator;
import reactor.core.publisher.Operators;
import reactor.core.scheduler.Scheduler;
import reactor.util.context.Context;

/**
 * Fails a response whose server goes silent. Time without demand does not count, because
 * a caller that reads slowly stops the router from reading.
 *
 * @param <T> the type of the elements
 */
public final class StallGuard<T> extends FluxOperator<T, T> {

	private static final long CHECK_INTERVAL_MS = 100;

	private final StallWatch watch;

	private final Scheduler scheduler;

	private final LongSupplier clockMs;

	/**
	 * Guards a response.
	 * @param source the response
	 * @param watch the watch, not shared with other responses
	 * @param scheduler the scheduler of the checks
	 * @param clockMs the time in milliseconds
	 */
	public StallGuard(Flux<T> source, StallWatch watch, Scheduler scheduler, LongSupplier clockMs) {
		super(source);
		this.watch = watch;
		this.scheduler = scheduler;
		this.clockMs = clockMs;
	}

	@Override
	public void subscribe(CoreSubscriber<? super T> actual) {
		this.source.subscribe(new Guarded(Operators.serialize(actual)));
	}

	/**
	 * One guarded subscription.
	 */
	private final class Guarded implements CoreSubscriber<T>, Subscription {

		private final CoreSubscriber<? super T> actual;

		private Subscription upstream;

		private Disposable checks;

		private long demand;

		private boolean ended;

		Guarded(CoreSubscriber<? super T> actual) {
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
			boolean alreadyEnded;
			synchronized (this) {
				this.checks = scheduled;
				alreadyEnded = this.ended;
			}
			if (alreadyEnded) {
				scheduled.dispose();
			}
			this.actual.onSubscribe(this);
		}

		@Override
		public void onNext(T element) {
			synchronized (this) {
				if (this.ended) {
					Operators.onNextDropped(element, currentContext());
					return;
				}
				this.demand = (this.demand == Long.MAX_VALUE) ? this.demand : this.demand - 1;
				StallGuard.this.watch.bytesReceived(StallGuard.this.clockMs.getAsLong());
			}
			this.actual.onNext(element);
		}

		@Override
		public void onError(Throwable error) {
			if (end()) {
				this.actual.onError(error);
			}
		}

		@Override
		public void onComplete() {
			if (end()) {
				this.actual.onComplete();
			}
		}

		@Override
		public void request(long count) {
			synchronized (this) {
				if (this.demand == 0) {
					StallGuard.this.watch.readingResumed(StallGuard.this.clockMs.getAsLong());
				}
				this.demand = Operators.addCap(this.demand, count);
			}
			this.upstream.request(count);
		}

		@Override
		public void cancel() {
			end();
			this.upstream.cancel();
		}

		private void check() {
			long silentMs;
			synchronized (this) {
				long nowMs = StallGuard.this.clockMs.getAsLong();
				boolean stalled = StallGuard.this.watch.check(nowMs);
				if (this.ended || this.demand == 0 || !stalled) {
					return;
				}
				silentMs = StallGuard.this.watch.silentMs(nowMs);
			}
			if (end()) {
				this.upstream.cancel();
				this.actual.onError(new BackendFailure(BackendFailure.Kind.STALLED,
						"the connection was silent for " + silentMs + " ms", null));
			}
		}

		private boolean end() {
			Disposable scheduled;
			synchronized (this) {
				if (this.ended) {
					return false;
				}
				this.ended = true;
				scheduled = this.checks;
			}
			if (scheduled != null) {
				scheduled.dispose();
			}
			return true;
		}

	}

}
