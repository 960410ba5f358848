package io.fescuehold.runtime.http;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import io.fescuehold.core.port.SharedState;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.CallOutcome;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import reactor.core.publisher.Mono;

/**
 * In-memory shared state that follows the rules for call records and can be made to fail.
 */
final class FakeSharedState implements SharedState {

	final List<String> history = new CopyOnWriteArrayList<>();

	final Map<CallKey, Object> records = new ConcurrentHashMap<>();

	volatile RuntimeException beginFailure;

	volatile Runnable afterGrant = () -> {
	};

	volatile int remainingApplyFailures;

	private final AtomicInteger lastFencingNumber = new AtomicInteger();

	@Override
	public Mono<CallOutcome> begin(String share, StateCommand.BeginCall command) {
		return Mono.defer(() -> {
			this.history.add("begin");
			if (this.beginFailure != null) {
				return Mono.error(this.beginFailure);
			}
			Object record = this.records.get(command.key());
			CallOutcome outcome = switch (record) {
				case null -> grant(command);
				case StateCommand.CompleteCall complete -> new CallOutcome.Completed(complete.answer());
				case StateCommand.MarkUnknown unknown -> new CallOutcome.Unknown();
				case StateCommand.MarkNotRun notRun -> grant(command);
				default -> new CallOutcome.InProgress(1_000);
			};
			return Mono.just(outcome);
		});
	}

	private CallOutcome grant(StateCommand.BeginCall command) {
		this.records.put(command.key(), command);
		long fencingNumber = this.lastFencingNumber.incrementAndGet();
		this.afterGrant.run();
		return new CallOutcome.Granted(fencingNumber);
	}

	@Override
	public Mono<StateOutcome> apply(String share, StateCommand command) {
		return Mono.defer(() -> {
			this.history.add(command.getClass().getSimpleName());
			if (this.remainingApplyFailures > 0) {
				this.remainingApplyFailures--;
				return Mono.error(new IllegalStateException("no majority"));
			}
			CallKey key = switch (command) {
				case StateCommand.CompleteCall complete -> complete.key();
				case StateCommand.MarkNotRun notRun -> notRun.key();
				case StateCommand.MarkUnknown unknown -> unknown.key();
				default -> throw new IllegalArgumentException(command.toString());
			};
			this.records.put(key, command);
			return Mono.just(new StateOutcome.Done());
		});
	}

}
