package io.fescuehold.runtime.gateway;

import java.util.NoSuchElementException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Races the first copy of a request with a second one. The copy that emits first wins,
 * the other one is cancelled. A second copy that has begun decides alone if the first one
 * fails; before that, a failure of the first copy is final.
 */
final class CopyRace {

	private CopyRace() {
	}

	/**
	 * Runs the race.
	 * @param first the first copy
	 * @param due emits when the second copy is due, or completes if there is none
	 * @param second begins the second copy; returns an empty stream if there may be none
	 * @param onWon called with whether the second copy won, if there was one
	 * @param <T> the type of the elements
	 * @return the elements of the copy that won; errors if both fail, with an error that
	 * says not run only if neither copy may have run
	 */
	static <T> Flux<T> run(Flux<T> first, Mono<Long> due, Supplier<Flux<T>> second, Consumer<Boolean> onWon) {
		return Flux.defer(() -> {
			AtomicReference<Throwable> firstError = new AtomicReference<>();
			AtomicReference<Throwable> secondError = new AtomicReference<>();
			AtomicBoolean secondBegan = new AtomicBoolean();
			AtomicBoolean won = new AtomicBoolean();
			Sinks.Empty<Void> firstEnded = Sinks.empty();
			Flux<T> watched = first.doOnError(firstError::set)
				.doOnTerminate(firstEnded::tryEmitEmpty)
				.doOnNext((item) -> {
					if (!won.getAndSet(true) && secondBegan.get()) {
						onWon.accept(false);
					}
				});
			Flux<T> late = due.takeUntilOther(firstEnded.asMono()).flatMapMany((tick) -> {
				Flux<T> copy = second.get();
				return copy.doOnSubscribe((subscription) -> secondBegan.set(true));
			}).doOnError(secondError::set).doOnNext((item) -> {
				if (!won.getAndSet(true)) {
					onWon.accept(true);
				}
			});
			return Flux.firstWithValue(watched, late)
				.onErrorMap(NoSuchElementException.class,
						(error) -> combine(firstError.get(), secondError.get(), error));
		});
	}

	private static Throwable combine(Throwable first, Throwable second, Throwable neither) {
		boolean firstNotRun = first instanceof FescueholdException refusal && refusal.run() == RunStatus.NO;
		if (first == null || (firstNotRun && second != null)) {
			return (second != null) ? second : neither;
		}
		return first;
	}

}
