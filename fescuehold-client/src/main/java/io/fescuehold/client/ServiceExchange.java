package io.fescuehold.client;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import reactor.core.publisher.Mono;

/**
 * Executes one service call in one or more attempts, which share the idempotency key.
 * After an attempt whose outcome is unknown, a later "not run" proves nothing about that
 * attempt, so such a call is never reported as not run.
 */
final class ServiceExchange {

	private static final int MAX_FAILURES = 8;

	private static final int MAX_OUTCOME_QUERIES = 4;

	private static final long OUTCOME_QUERY_DELAY_MS = 250;

	private static final long NO_ROUTER_TIMEOUT_MS = 10_000;

	private static final String IN_PROGRESS = "CALL_IN_PROGRESS";

	private final ClientContext context;

	private final ServiceRequest request;

	private final RouterSelector selector;

	private final long timeoutMs;

	private final long startedMs;

	private int attempts;

	private int failures;

	private int outcomeQueries;

	private boolean mayHaveRun;

	private boolean inFlight;

	ServiceExchange(ClientContext context, ServiceRequest request) {
		this.context = context;
		this.request = request;
		this.selector = context.selector(context.clientId());
		this.timeoutMs = (request.timeoutMs() > 0) ? request.timeoutMs() : context.options().serviceTimeoutMs();
		this.startedMs = context.nowMs();
	}

	/**
	 * Executes the call; may be subscribed to once.
	 * @return the response of the service
	 */
	Mono<ServiceAnswer> run() {
		this.context.budget().recordRequest();
		return attempt().timeout(Duration.ofMillis(this.timeoutMs), Mono.error(this::deadlineExceeded),
				this.context.scheduler());
	}

	private Mono<ServiceAnswer> attempt() {
		return this.selector.next()
			.onErrorMap(this::noRouter)
			.flatMap((router) -> send(router).onErrorResume((ex) -> recover(router, ex)));
	}

	private Mono<ServiceAnswer> send(Address router) {
		this.attempts++;
		this.inFlight = true;
		return this.context.http()
			.send(router, this.request.method(), "/services/" + this.request.service() + this.request.path(), headers(),
					this.request.body())
			.collectList()
			.timeout(Duration.ofMillis(this.context.options().answerLimitMs()), this.context.scheduler())
			.map(this::read);
	}

	private Map<String, String> headers() {
		Map<String, String> headers = new HashMap<>();
		headers.put("Fescuehold-Team", this.context.options().team());
		headers.put("Fescuehold-Deadline-Ms", Long.toString(Math.max(1, remainingMs())));
		if (this.request.body().length > 0) {
			headers.put("Content-Type", this.request.contentType());
		}
		if (this.request.idempotencyKey() != null) {
			headers.put("Idempotency-Key", this.request.idempotencyKey());
		}
		if (this.attempts > 1) {
			headers.put("Fescuehold-Attempt", Integer.toString(this.attempts));
		}
		return headers;
	}

	private ServiceAnswer read(List<WireSignal> signals) {
		WireSignal.Head head = null;
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		for (WireSignal signal : signals) {
			switch (signal) {
				case WireSignal.Head first -> head = first;
				case WireSignal.Body part -> body.writeBytes(part.bytes());
			}
		}
		if (head == null) {
			throw new IllegalStateException("The connection was closed before a response arrived");
		}
		if (head.isProblemOfRouter()) {
			throw new RejectedException(Problem.read(head, body.toByteArray()));
		}
		return new ServiceAnswer(head.status(), head.contentType(), body.toByteArray(), this.attempts);
	}

	private Mono<ServiceAnswer> recover(Address router, Throwable failure) {
		this.inFlight = false;
		if (RouterHttp.provesNotSent(failure)) {
			this.selector.failed(router, true);
			boolean timedOut = this.context.nowMs() - this.startedMs > NO_ROUTER_TIMEOUT_MS;
			return (timedOut) ? Mono.error(noRouter(failure)) : attempt();
		}
		if (failure instanceof RejectedException rejected) {
			return rejected(router, rejected.problem());
		}
		this.mayHaveRun = true;
		this.selector.failed(router, true);
		this.context.http().evictIdle(router);
		return mayRetry(0) ? attempt() : Mono.error(connectionLost(failure));
	}

	private Mono<ServiceAnswer> rejected(Address router, Problem problem) {
		return switch (problem.run()) {
			case NO -> retryOrFail(router, problem);
			case YES -> (hasKey()) ? Mono.error(problem.toException(RunStatus.YES)) : retryOrFail(router, problem);
			case UNKNOWN -> handleUnknown(router, problem);
		};
	}

	private Mono<ServiceAnswer> retryOrFail(Address router, Problem problem) {
		if (!problem.retryable() || !mayRetry(problem.retryAfterMs())) {
			return Mono.error(problem.toException((this.mayHaveRun) ? RunStatus.UNKNOWN : problem.run()));
		}
		this.selector.failed(router, false);
		return (problem.retryAfterMs() == 0) ? attempt()
				: this.context.after(problem.retryAfterMs()).flatMap((tick) -> attempt());
	}

	private Mono<ServiceAnswer> handleUnknown(Address router, Problem problem) {
		this.mayHaveRun = true;
		if (!hasKey()) {
			return retryOrFail(router, problem);
		}
		if (!IN_PROGRESS.equals(problem.code())) {
			this.outcomeQueries++;
		}
		long delayMs = Math.max(problem.retryAfterMs(), OUTCOME_QUERY_DELAY_MS << this.outcomeQueries);
		if (this.outcomeQueries > MAX_OUTCOME_QUERIES || delayMs >= remainingMs()) {
			return Mono.error(problem.toException(RunStatus.UNKNOWN));
		}
		this.selector.failed(router, false);
		return this.context.after(delayMs).flatMap((tick) -> attempt());
	}

	/**
	 * Decides whether the call may be sent again. Repeating a call with an idempotency
	 * key that may have run only queries its outcome, so this does not use the retry
	 * budget.
	 * @param delayMs the delay before the next attempt in milliseconds
	 * @return whether another attempt is allowed
	 */
	private boolean mayRetry(long delayMs) {
		this.failures++;
		if (this.failures > MAX_FAILURES || delayMs >= remainingMs()) {
			return false;
		}
		return (hasKey() && this.mayHaveRun) || this.context.budget().tryAcquireRetry();
	}

	private boolean hasKey() {
		return this.request.idempotencyKey() != null;
	}

	private long remainingMs() {
		return this.startedMs + this.timeoutMs - this.context.nowMs();
	}

	private RunStatus runStatus() {
		return (this.mayHaveRun || this.inFlight) ? RunStatus.UNKNOWN : RunStatus.NO;
	}

	private FescueholdClientException connectionLost(Throwable failure) {
		return new FescueholdClientException(FescueholdClientException.CONNECTION_LOST, RunStatus.UNKNOWN,
				describe() + " received no response after " + this.attempts + " attempts: " + failure.getMessage(),
				remedy(), 0, failure);
	}

	private FescueholdClientException noRouter(Throwable failure) {
		return new FescueholdClientException(FescueholdClientException.NO_ROUTER, runStatus(),
				describe() + " could not reach a router: " + failure.getMessage(),
				"check the entry addresses and the network; " + remedy(), 0, failure);
	}

	private FescueholdClientException deadlineExceeded() {
		return new FescueholdClientException(FescueholdClientException.DEADLINE_EXCEEDED, runStatus(),
				describe() + " did not complete within " + this.timeoutMs + " ms", remedy(), 0, null);
	}

	private String describe() {
		return this.request.method() + " " + this.request.service() + this.request.path();
	}

	private String remedy() {
		return (hasKey()) ? "retry with Idempotency-Key \"" + this.request.idempotencyKey() + "\""
				: "retry the request";
	}

}
