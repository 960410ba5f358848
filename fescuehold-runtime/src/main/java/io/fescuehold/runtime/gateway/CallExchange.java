package io.fescuehold.runtime.gateway;

import java.time.Duration;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.backend.BackendExchange;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendResponse;
import io.fescuehold.runtime.backend.StreamDeadline;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Exchange of one non-streaming request. The response is buffered until it is complete,
 * so that a truncated response never reaches the caller and an idempotent request can be
 * retried.
 */
final class CallExchange {

	/** Maximum size of a buffered response. */
	static final int MAX_RESPONSE_BYTES = 8 << 20;

	/**
	 * Multiple of the route's latency objective after which a request is moved from a
	 * slow server to another one.
	 */
	private static final int SLOW_FACTOR = 2;

	/** The first HTTP status with which a server says that it failed. */
	static final int SERVER_ERROR = 500;

	private static final long MIN_SLOW_MS = 100;

	/** Interval at which a slow request that could not be moved is checked again. */
	private static final long SLOW_CHECK_INTERVAL_MS = 100;

	private final Dispatcher dispatcher;

	private final Scheduler scheduler;

	private final GatewayRequest request;

	private final GatewayLog log;

	private final Attempts attempts;

	/** The second copy of the request, or null if there is none or it has lost. */
	private CallExchange copy;

	private boolean copyWon;

	CallExchange(Dispatcher dispatcher, Scheduler scheduler, GatewayLog log, GatewayRequest request) {
		this.dispatcher = dispatcher;
		this.scheduler = scheduler;
		this.request = request;
		this.log = log;
		this.attempts = new Attempts(dispatcher, log, request);
	}

	private CallExchange(CallExchange first, Attempts attempts) {
		this.dispatcher = first.dispatcher;
		this.scheduler = first.scheduler;
		this.request = first.request;
		this.log = first.log;
		this.attempts = attempts;
	}

	/**
	 * Runs the request.
	 * @return the server's response; errors with the error for the caller
	 */
	Mono<BackendResponse> run() {
		long leftMs = this.request.leftMs(this.dispatcher.nowMs());
		return copies().timeout(Duration.ofMillis(Math.max(1, leftMs)), Mono.error(this::deadlineExceeded),
				this.scheduler);
	}

	private Mono<BackendResponse> copies() {
		Mono<BackendResponse> first = Mono.defer(this::attempt);
		Hedging hedging = this.dispatcher.hedging();
		if (!hedging.appliesTo(this.request)) {
			return first;
		}
		return CopyRace.run(first.flux(), hedging.due(this.request, this.scheduler), this::secondCopy,
				(response) -> response.status() >= SERVER_ERROR, (secondWon) -> {
					copyEnded(secondWon);
					hedging.recordOutcome(this.request, secondWon);
				})
			.next();
	}

	private Flux<BackendResponse> secondCopy() {
		Attempts second = this.attempts.secondCopy();
		if (second == null) {
			return Flux.empty();
		}
		this.copy = new CallExchange(this, second);
		return Flux.defer(this.copy::attempt);
	}

	private void copyEnded(boolean secondWon) {
		this.copyWon = secondWon;
		if (!secondWon) {
			this.copy = null;
		}
	}

	// Each server that is still waited for has been silent, but not one whose copy lost.
	private FescueholdException deadlineExceeded() {
		FescueholdException ofCopy = (this.copy != null) ? this.copy.deadlineExceeded() : null;
		return this.copyWon ? ofCopy : this.attempts.deadlineExceeded();
	}

	/**
	 * Ends the request with its final answer, because this host stops.
	 */
	void stop() {
		this.attempts.withdrawal().byStop();
		if (this.copy != null) {
			this.copy.stop();
		}
	}

	/**
	 * Returns the server of the last attempt.
	 * @return its instance id
	 */
	String serverId() {
		return this.copyWon ? this.copy.serverId() : this.attempts.serverId();
	}

	private Mono<BackendResponse> attempt() {
		Dispatcher.Target target = this.attempts.next();
		this.attempts.started();
		long startedAtMs = this.dispatcher.nowMs();
		Mono<BackendResponse> exchange = BackendExchange
			.sendAndCollect(this.dispatcher.client(target), this.attempts.prepare(-1), MAX_RESPONSE_BYTES,
					this.request.memory())
			.doFinally((signal) -> this.attempts.ended(target));
		exchange = StreamDeadline
			.cut(exchange.flux(), this.attempts.withdrawal().signal(), this.attempts::withdrawalError)
			.next();
		long slowMs = Math.max(MIN_SLOW_MS, (long) SLOW_FACTOR * this.request.route().objectiveMs());
		if (this.attempts.hasRetryLeft() && this.request.leftMs(this.dispatcher.nowMs()) > 2 * slowMs) {
			// A slow attempt is only cancelled if another server can take the request
			// over.
			Mono<Long> slow = Flux
				.interval(Duration.ofMillis(slowMs), Duration.ofMillis(SLOW_CHECK_INTERVAL_MS), this.scheduler)
				.filter((tick) -> this.attempts.reserveRetry())
				.next();
			exchange = exchange.timeout(slow, Mono.error(() -> new BackendFailure(BackendFailure.Kind.STALLED,
					"no response within " + slowMs + " ms", null)));
		}
		return exchange.map((response) -> new Outcome(response, null, target, this.dispatcher.nowMs() - startedAtMs))
			.onErrorResume((failure) -> Mono.just(new Outcome(null, failure, target, 0)))
			.flatMap(this::evaluate);
	}

	private Mono<BackendResponse> evaluate(Outcome outcome) {
		if (outcome.failure != null) {
			return failOrRetry(this.attempts.afterFailure(outcome.failure));
		}
		BackendResponse response = outcome.response;
		return switch (this.attempts.judge(response.status(), response.headers())) {
			case AnswerVerdict.Refused(FescueholdException refusal) ->
				failOrRetry(this.attempts.afterRelayRefusal(refusal));
			case AnswerVerdict.NotRun(boolean otherInstance) ->
				failOrRetry(this.attempts.afterRejection(response.status(), otherInstance));
			case AnswerVerdict.UnprovenRejection(int status) ->
				failOrRetry(this.attempts.afterUnprovenRejection(status));
			case AnswerVerdict.Unproven(String reason) ->
				failOrRetry(this.attempts.afterFailure(new BackendFailure(BackendFailure.Kind.PROTOCOL, reason, null)));
			case AnswerVerdict.Signed signed -> evaluateSigned(outcome);
		};
	}

	private Mono<BackendResponse> evaluateSigned(Outcome outcome) {
		BackendResponse response = outcome.response;
		if (response.status() >= SERVER_ERROR) {
			return this.attempts.retriesAfterError(response) ? attempt() : Mono.just(response);
		}
		this.attempts.recordAnswerTime();
		this.attempts.served(BackendExchange.isFramed(response.headers()));
		this.dispatcher.placement().recordAnswer(this.request, outcome.target, outcome.tookMs, this.dispatcher.nowMs());
		return Mono.just(response);
	}

	private Mono<BackendResponse> failOrRetry(RuntimeException refusal) {
		return (refusal != null) ? Mono.error(refusal) : this.attempts.beforeRetry().then(Mono.defer(this::attempt));
	}

	private record Outcome(BackendResponse response, Throwable failure, Dispatcher.Target target, long tookMs) {

	}

}
