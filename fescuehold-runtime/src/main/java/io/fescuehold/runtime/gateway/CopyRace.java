package io.fescuehold.runtime.gateway;

import java.util.NoSuchElementException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Races the first copy of a request with a second one. The copy that emits first wins,
 * the other one is cancelled. A second copy that has begun decides alone if the first one
 * fails; before that, a failure of the first copy is final. An answer that is an error of
 * its server does not win: the other copy may still be served.
 */
final class CopyRace {

	private CopyRace() {
	}

	/**
	 * Runs the race.
	 * @param first the first copy
	 * @param due emits when the second copy is due, or completes if there is none
	 * @param second begins the second copy; returns an empty stream if there may be none
	 * @param isServerError whether an element, which is then the only one of its copy, is
	 * the error answer of a server
	 * @param onWon called with whether the second copy won, if there was one
	 * @param <T> the type of the elements
	 * @return the elements of the copy that won; if both fail, an error answer or an
	 * error, which says not run only if neither copy may have run
	 */
	static <T> Flux<T> run(Flux<T> first, Mono<Long> due, Supplier<Flux<T>> second, Predicate<T> isServerError,
			Consumer<Boolean> onWon) {
		return Flux.defer(() -> {
			AtomicReference<Throwable> firstError = new AtomicReference<>();
			AtomicReference<Throwable> secondError = new AtomicReference<>();
			AtomicBoolean secondBegan = new AtomicBoolean();
			AtomicBoolean won = new AtomicBoolean();
			Sinks.Empty<Void> firstEnded = Sinks.empty();
			AtomicReference<T> firstAnswer = new AtomicReference<>();
			AtomicReference<T> secondAnswer = new AtomicReference<>();
			Flux<T> watched = failOnServerError(first, isServerError, firstAnswer).doOnError(firstError::set)
				.doOnTerminate(firstEnded::tryEmitEmpty)
				.doOnNext((item) -> {
					if (!won.getAndSet(true) && secondBegan.get()) {
						onWon.accept(false);
					}
				});
			Flux<T> late = due.takeUntilOther(firstEnded.asMono()).flatMapMany((tick) -> {
				Flux<T> copy = failOnServerError(second.get(), isServerError, secondAnswer);
				return copy.doOnSubscribe((subscription) -> secondBegan.set(true));
			}).doOnError(secondError::set).doOnNext((item) -> {
				if (!won.getAndSet(true)) {
					onWon.accept(true);
				}
			});
			return Flux.firstWithValue(watched, late)
				.onErrorMap(NoSuchElementException.class,
						(error) -> combine(firstError.get(), secondError.get(), error))
				.onErrorResume(ServerError.class,
						(error) -> Mono.just((error == firstError.get()) ? firstAnswer.get() : secondAnswer.get()));
		});
	}

	// Fails at the end of the copy, so that the connection is not closed for it.
	private static <T> Flux<T> failOnServerError(Flux<T> copy, Predicate<T> isServerError, AtomicReference<T> answer) {
		return copy.filter((item) -> {
			if (isServerError.test(item)) {
				answer.set(item);
			}
			return answer.get() == null;
		}).concatWith(Mono.defer(() -> (answer.get() != null) ? Mono.error(new ServerError()) : Mono.empty()));
	}

	private static Throwable combine(Throwable first, Throwable second, Throwable neither) {
		boolean firstNotRun = first instanceof FescueholdException refusal && refusal.run() == RunStatus.NO;
		if (first == null || (firstNotRun && second != null)) {
			return (second != null) ? second : neither;
		}
		return first;
	}

	/** Ends a copy that was answered with an error of its server. */
	private static final class ServerError extends RuntimeException {

		private static final long serialVersionUID = 1L;

		ServerError() {
			super(null, null, false, false);
		}

	}

}
