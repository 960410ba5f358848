package io.fescuehold.runtime.gateway;

import java.util.ArrayList;
import java.util.List;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays the order in which two copies of a request can end. Guards against a copy that
 * goes on after the race, and against a failure that ends a copy which is still served.
 */
class CopyRaceTests {

	private static final String SERVER_ERROR = "500";

	private final Sinks.Many<String> first = Sinks.many().unicast().onBackpressureBuffer();

	private final Sinks.Many<String> second = Sinks.many().unicast().onBackpressureBuffer();

	private final Sinks.One<Long> due = Sinks.one();

	private final List<Object> result = new ArrayList<>();

	private final List<Boolean> secondWon = new ArrayList<>();

	private boolean firstCancelled;

	private boolean dueCancelled;

	private boolean secondBegan;

	private boolean secondCancelled;

	private Disposable run() {
		Flux<String> race = CopyRace.run(this.first.asFlux().doOnCancel(() -> this.firstCancelled = true),
				this.due.asMono().doOnCancel(() -> this.dueCancelled = true), this::begin, SERVER_ERROR::equals,
				this.secondWon::add);
		return race.subscribe(this.result::add, this.result::add, () -> this.result.add("end"));
	}

	private Flux<String> begin() {
		this.secondBegan = true;
		return this.second.asFlux().doOnCancel(() -> this.secondCancelled = true);
	}

	private static void answer(Sinks.Many<String> copy, String answer) {
		copy.tryEmitNext(answer).orThrow();
		copy.tryEmitComplete().orThrow();
	}

	private static FescueholdException refusal(RunStatus run) {
		return FescueholdException.of(ErrorCode.OVERLOADED, run, 0, run.name());
	}

	@Test
	void firstCopyThatAnswersBeforeTheSecondIsDueLeavesNothingBehind() {
		run();
		answer(this.first, "a");
		assertThat(this.result).containsExactly("a", "end");
		assertThat(this.dueCancelled).isTrue();
		assertThat(this.secondBegan).isFalse();
		assertThat(this.secondWon).isEmpty();
	}

	@Test
	void copyThatAnswersFirstCancelsTheOther() {
		run();
		this.due.tryEmitValue(0L);
		answer(this.second, "b");
		assertThat(this.result).containsExactly("b", "end");
		assertThat(this.firstCancelled).isTrue();
		assertThat(this.secondWon).containsExactly(true);
	}

	@Test
	void firstCopyThatAnswersLateCancelsTheSecond() {
		run();
		this.due.tryEmitValue(0L);
		answer(this.first, "a");
		assertThat(this.result).containsExactly("a", "end");
		assertThat(this.secondCancelled).isTrue();
		assertThat(this.secondWon).containsExactly(false);
	}

	@Test
	void errorAnswerOfTheSecondServerLeavesTheFirstCopy() {
		run();
		this.due.tryEmitValue(0L);
		answer(this.second, SERVER_ERROR);
		assertThat(this.result).isEmpty();
		assertThat(this.firstCancelled).isFalse();
		answer(this.first, "a");
		assertThat(this.result).containsExactly("a", "end");
		assertThat(this.secondWon).containsExactly(false);
	}

	@Test
	void errorAnswerOfTheFirstServerLeavesTheSecondCopy() {
		run();
		this.due.tryEmitValue(0L);
		answer(this.first, SERVER_ERROR);
		assertThat(this.secondCancelled).isFalse();
		answer(this.second, "b");
		assertThat(this.result).containsExactly("b", "end");
		assertThat(this.secondWon).containsExactly(true);
	}

	@Test
	void errorAnswerIsDeliveredIfTheOtherCopyFailsAsWell() {
		run();
		this.due.tryEmitValue(0L);
		answer(this.first, SERVER_ERROR);
		this.second.tryEmitError(refusal(RunStatus.UNKNOWN));
		assertThat(this.result).containsExactly(SERVER_ERROR, "end");
	}

	@Test
	void errorAnswerBeforeTheSecondCopyIsDueIsFinal() {
		run();
		answer(this.first, SERVER_ERROR);
		assertThat(this.result).containsExactly(SERVER_ERROR, "end");
		assertThat(this.dueCancelled).isTrue();
		assertThat(this.secondBegan).isFalse();
	}

	@Test
	void failureBeforeTheSecondCopyIsDueIsFinal() {
		run();
		FescueholdException failure = refusal(RunStatus.NO);
		this.first.tryEmitError(failure);
		assertThat(this.result).containsExactly(failure);
		assertThat(this.dueCancelled).isTrue();
	}

	@Test
	void failureOfOneCopyLeavesTheOther() {
		run();
		this.due.tryEmitValue(0L);
		this.first.tryEmitError(refusal(RunStatus.UNKNOWN));
		assertThat(this.result).isEmpty();
		answer(this.second, "b");
		assertThat(this.result).containsExactly("b", "end");
	}

	@Test
	void ofTwoFailuresTheOneThatMayHaveRunCounts() {
		run();
		this.due.tryEmitValue(0L);
		FescueholdException mayHaveRun = refusal(RunStatus.UNKNOWN);
		this.first.tryEmitError(refusal(RunStatus.NO));
		this.second.tryEmitError(mayHaveRun);
		assertThat(this.result).containsExactly(mayHaveRun);
	}

	@Test
	void callerThatLeavesCancelsBothCopies() {
		Disposable race = run();
		this.due.tryEmitValue(0L);
		race.dispose();
		assertThat(this.firstCancelled).isTrue();
		assertThat(this.secondCancelled).isTrue();
	}

	@Test
	void callerThatLeavesBeforeTheSecondCopyIsDueCancelsIt() {
		Disposable race = run();
		race.dispose();
		assertThat(this.firstCancelled).isTrue();
		assertThat(this.dueCancelled).isTrue();
		assertThat(this.due.tryEmitValue(0L)).isNotNull();
		assertThat(this.secondBegan).isFalse();
	}

}
