package io.fescuehold.runtime.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.call.CallFlow;
import io.fescuehold.core.call.CallStep;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.state.CallKey;
import io.fescuehold.core.state.StateCommand;
import io.fescuehold.core.state.StateOutcome;
import io.fescuehold.core.state.StoredAnswer;
import io.fescuehold.runtime.backend.BackendExchange;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.BackendRequest;
import io.fescuehold.runtime.backend.BackendResponse;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.util.retry.Retry;

/**
 * Runs one non-idempotent service call at most once. Each dispatch uses a new connection,
 * so that a refused connection proves that nothing was sent.
 */
final class AtMostOnceCall {

	private static final int PRECONDITION_FAILED = 412;

	private static final int MAX_BEGIN_ATTEMPTS = 3;

	private static final Duration RECORD_RETRY_MIN_BACKOFF = Duration.ofMillis(100);

	private static final Duration RECORD_RETRY_MAX_BACKOFF = Duration.ofSeconds(1);

	private final RouterContext context;

	private final ServiceServerSelector servers;

	private final ServiceCall call;

	private final String ownerShare;

	private final CallKey key;

	private final Set<String> excluded = new HashSet<>();

	private int beginAttempts;

	AtMostOnceCall(RouterContext context, ServiceServerSelector servers, ServiceCall call, String ownerShare) {
		this.context = context;
		this.servers = servers;
		this.call = call;
		this.ownerShare = ownerShare;
		this.key = new CallKey(call.caller().team(), call.caller().idempotencyKey());
	}

	/**
	 * Runs the call. After subscription, cancellation has no effect: a caller that
	 * disconnects must be able to retrieve the outcome with a later request.
	 * @return the response; refusals are signalled as errors
	 */
	Mono<BackendResponse> run() {
		Sinks.One<BackendResponse> result = Sinks.one();
		return Mono.defer(() -> {
			String workId = this.call.caller().requestId() + "-call";
			this.context.inFlight().begin(workId, this.call.method() + " " + this.call.path().rawTarget());
			begin().doFinally((signal) -> this.context.inFlight().end(workId))
				.subscribe(result::tryEmitValue, result::tryEmitError);
			return result.asMono();
		});
	}

	private Mono<BackendResponse> begin() {
		return Mono.defer(() -> {
			long nowMs = this.context.nowMs();
			this.beginAttempts++;
			CallFlow flow = new CallFlow(this.key, this.call.path().service(),
					this.context.policy(this.ownerShare).dispatchWindowMs());
			flow.beginSent(nowMs);
			return this.context.ports()
				.state()
				.begin(this.ownerShare,
						new StateCommand.BeginCall(this.key, digest(), this.call.path().service(),
								this.context.ports().hostId(), recordDeadlineAtMs(), nowMs))
				.timeout(this.context.remaining(this.call.deadlineAtMs()), this.context.scheduler())
				.map((outcome) -> flow.beginAnswered(outcome, this.context.nowMs()))
				.onErrorResume((error) -> Mono.just(flow.beginFailed(this.ownerShare)))
				.flatMap((step) -> execute(flow, step));
		});
	}

	private long recordDeadlineAtMs() {
		return this.call.deadlineAtMs() + this.context.options().recordRepeatMs();
	}

	private Mono<BackendResponse> execute(CallFlow flow, CallStep step) {
		return switch (step) {
			case CallStep.Dispatch dispatch -> dispatch(flow, dispatch.fencingNumber());
			case CallStep.Record record -> record(flow, record.command());
			case CallStep.Respond respond -> Mono.just(new BackendResponse(respond.answer().status(),
					respond.answer().headers(), respond.answer().body()));
			case CallStep.Refuse refuse -> Mono.error(refusal(refuse));
			case CallStep.BeginAgain again -> (mayRetry()) ? begin() : Mono.error(refusal(again.otherwise()));
		};
	}

	private boolean mayRetry() {
		boolean allowed = this.beginAttempts < MAX_BEGIN_ATTEMPTS && this.context.nowMs() < this.call.deadlineAtMs()
				&& this.context.ports().retries().tryRetry();
		if (allowed) {
			this.context.metrics().countRetry();
		}
		return allowed;
	}

	private Mono<BackendResponse> dispatch(CallFlow flow, long fencingNumber) {
		ServiceServerSelector.SelectedServer selected;
		try {
			selected = this.servers.select(this.call.path().service(), this.call.spec(this.context.view()),
					this.excluded);
		}
		catch (FescueholdException ex) {
			// No server can be selected, so the call must not be begun again.
			this.beginAttempts = MAX_BEGIN_ATTEMPTS;
			return execute(flow, flow.notSent()).onErrorMap((error) -> ex);
		}
		BackendPool pool = this.context.pools().pool(selected.spec().host(), selected.spec().port());
		Duration remaining = this.context.remaining(this.call.deadlineAtMs());
		Map<String, String> headers = new HashMap<>(this.call.headersFor(remaining.toMillis(), this.beginAttempts));
		headers.put("idempotency-key", this.key.idempotencyKey());
		headers.put("fescuehold-fencing-number", String.valueOf(fencingNumber));
		headers.put("connection", "close");
		this.context.metrics().recordAddedLatency(this.call.caller());
		BackendRequest request = new BackendRequest(this.call.method(), this.call.path().rawTarget(), headers,
				this.call.body(), (kept) -> beforeSend(flow));
		return BackendExchange.sendAndCollect(pool::fresh, request, this.context.options().maxAnswerBytes())
			.switchIfEmpty(Mono.error(() -> new BackendFailure(BackendFailure.Kind.LOST, "no response", null)))
			.timeout(remaining, this.context.scheduler())
			.doOnSuccess((response) -> this.servers.callEnded(selected, false))
			.doOnError((error) -> this.servers.callEnded(selected, true))
			.map((response) -> answered(flow, selected, response))
			.onErrorResume((error) -> Mono.just(failed(flow, selected, error)))
			.flatMap((step) -> execute(flow, step));
	}

	private void beforeSend(CallFlow flow) {
		synchronized (flow) {
			if (!flow.mayDispatch(this.context.nowMs())) {
				throw new BackendFailure(BackendFailure.Kind.NOT_SENT, "the dispatch window has passed", null);
			}
			flow.dispatched();
		}
	}

	private CallStep answered(CallFlow flow, ServiceServerSelector.SelectedServer selected, BackendResponse response) {
		if (response.status() == PRECONDITION_FAILED && selected.spec().checksFencing()) {
			return flow.refusedByFencing();
		}
		Map<String, String> headers = new HashMap<>(response.headers());
		headers.keySet().removeIf((name) -> !ServiceCall.isForwarded(name));
		return flow.answered(new StoredAnswer(response.status(), headers, response.body(), false),
				this.context.policy(this.ownerShare).maxStoredAnswerBytes());
	}

	private CallStep failed(CallFlow flow, ServiceServerSelector.SelectedServer selected, Throwable error) {
		this.excluded.add(selected.serverId());
		synchronized (flow) {
			boolean sent = flow.isDispatched();
			this.context.log()
				.backendFailed(this.call.caller(), selected.serverId(), error,
						(sent) ? "recording the call as unknown" : "recording the call as not run");
			return (sent) ? flow.lost() : flow.notSent();
		}
	}

	private Mono<BackendResponse> record(CallFlow flow, StateCommand command) {
		Sinks.One<StateOutcome> recorded = Sinks.one();
		// Recording is retried in the background even after the caller has been answered.
		String workId = this.call.caller().requestId() + "-record" + this.beginAttempts;
		this.context.inFlight().begin(workId, "record of " + this.call.path().rawTarget());
		this.context.ports()
			.state()
			.apply(this.ownerShare, command)
			.retryWhen(Retry.backoff(Long.MAX_VALUE, RECORD_RETRY_MIN_BACKOFF)
				.maxBackoff(RECORD_RETRY_MAX_BACKOFF)
				.scheduler(this.context.scheduler()))
			.timeout(this.context.remaining(recordDeadlineAtMs()), this.context.scheduler())
			.doFinally((signal) -> this.context.inFlight().end(workId))
			.subscribe(recorded::tryEmitValue, recorded::tryEmitError);
		return recorded.asMono()
			.timeout(Duration.ofMillis(this.context.options().recordLimitMs()), this.context.scheduler())
			.map((outcome) -> flow.recorded())
			.onErrorResume((error) -> Mono.just(flow.notRecorded()))
			.flatMap((step) -> execute(flow, step));
	}

	private FescueholdException refusal(CallStep.Refuse refuse) {
		Object[] arguments = switch (refuse.code()) {
			case NOT_OWNER -> new Object[] { this.ownerShare, refuse.argument() };
			case CALL_ANSWER_NOT_KEPT -> new Object[] { this.key.idempotencyKey(), refuse.argument() };
			default -> new Object[] { refuse.argument() };
		};
		return FescueholdException.of(refuse.code(), refuse.run(), refuse.retryAfterMs(), arguments);
	}

	private String digest() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			String head = this.call.method() + "\n" + this.call.path().service() + this.call.path().rawTarget() + "\n";
			digest.update(head.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest.digest(this.call.body()));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

}
