package io.fescuehold.client;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import reactor.core.publisher.Mono;

/**
 * One service call over as many attempts as it takes. All attempts share the idempotency
 * key. After an attempt whose outcome is unknown, a later "not run" proves nothing about
 * that attempt, so the call then ends with an answer or as unknown.
 */
final class ServiceExchange {

	private static final int MAX_FAILURES = 8;

	private static final int MAX_OUTCOME_QUESTIONS = 4;

	private static final long OUTCOME_PAUSE_MS = 250;

	private static final long NO_ROUTER_LIMIT_MS = 10_000;

	private static final String IN_PROGRESS = "CALL_IN_PROGRESS";

	private final ClientContext context;

	private final ServiceRequest request;

	private final RouterChoice choice;

	private final long timeoutMs;

	private final long startedMs;

	private int attempts;

	private int failures;

	private int outcomeQuestions;

	private boolean mayHaveRun;

	private boolean inFlight;

	ServiceExchange(ClientContext context, ServiceRequest request) {
		this.context = context;
		this.request = request;
		this.choice = context.choice(context.clientId());
		this.timeoutMs = (request.timeoutMs() > 0) ? request.timeoutMs() : context.options().serviceTimeoutMs();
		this.startedMs = context.nowMs();
	}

	/**
	 * Runs the exchange; may be subscribed to once.
	 * @return the answer
	 */
	Mono<ServiceAnswer> run() {
		this.context.budget().request();
		return attempt().timeout(Duration.ofMillis(this.timeoutMs), Mono.error(this::deadlinePassed),
				this.context.scheduler());
	}

	private Mono<ServiceAnswer> attempt() {
		return this.choice.next()
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
			throw new IllegalStateException("The connection ended without an answer");
		}
		if (head.isProblem()) {
			throw new RejectedException(Problem.read(head, body.toByteArray()));
		}
		return new ServiceAnswer(head.status(), head.contentType(), body.toByteArray(), this.attempts);
	}

	private Mono<ServiceAnswer> recover(Address router, Throwable failure) {
		this.inFlight = false;
		if (RouterHttp.provesNotSent(failure)) {
			this.choice.failed(router, true);
			boolean giveUp = this.context.nowMs() - this.startedMs > NO_ROUTER_LIMIT_MS;
			return (giveUp) ? Mono.error(noRouter(failure)) : attempt();
		}
		if (failure instanceof RejectedException rejected) {
			return rejected(router, rejected.problem());
		}
		this.mayHaveRun = true;
		this.choice.failed(router, true);
		this.context.http().evictIdle(router);
		return again(0) ? attempt() : Mono.error(lost(failure));
	}

	private Mono<ServiceAnswer> rejected(Address router, Problem problem) {
		return switch (problem.run()) {
			case NO -> notRun(router, problem);
			case YES -> (keyed()) ? Mono.error(problem.toException(RunStatus.YES)) : notRun(router, problem);
			case UNKNOWN -> unknown(router, problem);
		};
	}

	private Mono<ServiceAnswer> notRun(Address router, Problem problem) {
		if (!problem.retryable() || !again(problem.retryAfterMs())) {
			return Mono.error(problem.toException((this.mayHaveRun) ? RunStatus.UNKNOWN : problem.run()));
		}
		this.choice.failed(router, false);
		return (problem.retryAfterMs() == 0) ? attempt()
				: this.context.after(problem.retryAfterMs()).flatMap((tick) -> attempt());
	}

	private Mono<ServiceAnswer> unknown(Address router, Problem problem) {
		this.mayHaveRun = true;
		if (!keyed()) {
			return notRun(router, problem);
		}
		if (!IN_PROGRESS.equals(problem.code())) {
			this.outcomeQuestions++;
		}
		long pauseMs = Math.max(problem.retryAfterMs(), OUTCOME_PAUSE_MS << this.outcomeQuestions);
		if (this.outcomeQuestions > MAX_OUTCOME_QUESTIONS || pauseMs >= remainingMs()) {
			return Mono.error(problem.toException(RunStatus.UNKNOWN));
		}
		this.choice.failed(router, false);
		return this.context.after(pauseMs).flatMap((tick) -> attempt());
	}

	/**
	 * Decides whether to send the call again. Asking for the outcome of a keyed call that
	 * may have run causes no work, so it is not taken from the retry budget.
	 * @param pauseMs the time to wait first
	 * @return whether another attempt is allowed
	 */
	private boolean again(long pauseMs) {
		this.failures++;
		if (this.failures > MAX_FAILURES || pauseMs >= remainingMs()) {
			return false;
		}
		return (keyed() && this.mayHaveRun) || this.context.budget().tryRetry();
	}

	private boolean keyed() {
		return this.request.idempotencyKey() != null;
	}

	private long remainingMs() {
		return this.startedMs + this.timeoutMs - this.context.nowMs();
	}

	private RunStatus runStatus() {
		return (this.mayHaveRun || this.inFlight) ? RunStatus.UNKNOWN : RunStatus.NO;
	}

	private FescueholdClientException lost(Throwable failure) {
		return new FescueholdClientException(FescueholdClientException.CONNECTION_LOST, RunStatus.UNKNOWN,
				describe() + " got no answer after " + this.attempts + " attempts: " + failure.getMessage(), remedy(),
				0, failure);
	}

	private FescueholdClientException noRouter(Throwable failure) {
		return new FescueholdClientException(FescueholdClientException.NO_ROUTER, runStatus(),
				describe() + " reached no router: " + failure.getMessage(),
				"check the entry addresses and the network; " + remedy(), 0, failure);
	}

	private FescueholdClientException deadlinePassed() {
		return new FescueholdClientException(FescueholdClientException.DEADLINE_EXCEEDED, runStatus(),
				describe() + " had no answer after " + this.timeoutMs + " ms", remedy(), 0, null);
	}

	private String describe() {
		return this.request.method() + " " + this.request.service() + this.request.path();
	}

	private String remedy() {
		return (keyed()) ? "ask again with Idempotency-Key \"" + this.request.idempotencyKey() + "\"" : "ask again";
	}

}
