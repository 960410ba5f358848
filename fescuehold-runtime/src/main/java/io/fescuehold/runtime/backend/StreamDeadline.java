package io.fescuehold.runtime.backend;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Terminates a stream with an error at a deadline or on a signal. The source is cancelled
 * before the error is emitted, so that its connection is closed;
 * {@link Flux#takeUntilOther} with an error as the other publisher would emit the error
 * and leave the source running.
 */
public final class StreamDeadline {

	private StreamDeadline() {
	}

	/**
	 * Limits the duration of a stream.
	 * @param source the stream
	 * @param limit the maximum time from the subscription to the end
	 * @param error supplies the error of a stream that takes longer; called after the
	 * source was cancelled
	 * @param scheduler the scheduler that measures the time
	 * @param <T> the type of the elements
	 * @return the limited stream
	 */
	public static <T> Flux<T> limit(Flux<T> source, Duration limit, Supplier<Throwable> error, Scheduler scheduler) {
		return cut(source, Mono.delay(limit, scheduler), error);
	}

	/**
	 * Terminates a stream with an error on a signal.
	 * @param source the stream
	 * @param signal terminates the stream with its first element
	 * @param error supplies the error; called after the source was cancelled
	 * @param <T> the type of the elements
	 * @return the stream
	 */
	public static <T> Flux<T> cut(Flux<T> source, Mono<?> signal, Supplier<Throwable> error) {
		return Flux.defer(() -> {
			AtomicBoolean signalled = new AtomicBoolean();
			return source.takeUntilOther(signal.doOnNext((element) -> signalled.set(true)))
				.concatWith(Mono.defer(() -> signalled.get() ? Mono.error(error) : Mono.empty()));
		});
	}

}
