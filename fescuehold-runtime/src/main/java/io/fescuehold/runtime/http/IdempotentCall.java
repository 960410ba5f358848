package io.fescuehold.runtime.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.runtime.backend.BackendExchange;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendFailure.Kind;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.BackendRequest;
import io.fescuehold.runtime.backend.BackendResponse;
import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Runs one service call that may be retried. Responses of a known, moderate size are
 * buffered, so that the call can be retried if the connection is lost in the middle of
 * the response. Larger responses and those of unknown size are streamed to the caller,
 * unless their status leads to a retry.
 */
final class IdempotentCall {

	private static final int MAX_BUFFERED_BYTES = 262_144;

	private static final long RETRY_AFTER_MS = 1_000;

	private static final Set<Integer> RETRIED_STATUSES = Set.of(502, 503, 504);

	private final RouterContext context;

	private final ServiceServerSelector servers;

	private final ServiceCall call;

	private final HttpServerResponse response;

	private final Set<String> excluded = new HashSet<>();

	private boolean mayHaveRun;

	private int attempts;

	IdempotentCall(RouterContext context, ServiceServerSelector servers, ServiceCall call,
			HttpServerResponse response) {
		this.context = context;
		this.servers = servers;
		this.call = call;
		this.response = response;
	}

	/**
	 * Runs the call.
	 * @return completes once the response is written; refusals are signalled as errors
	 */
	Mono<Void> run() {
		this.context.ports().retries().requestStarted();
		return Mono.defer(this::attempt);
	}

	private Mono<Void> attempt() {
		ServiceServerSelector.SelectedServer selected = this.servers.select(this.call.path().service(),
				this.call.spec(this.context.view()), this.excluded);
		BackendPool pool = this.context.pools().pool(selected.spec().host(), selected.spec().port());
		Object generation = pool.generation();
		this.attempts++;
		this.context.metrics().recordAddedLatency(this.call.caller());
		long remainingMs = this.context.remaining(this.call.deadlineAtMs()).toMillis();
		BackendRequest request = new BackendRequest(this.call.method(), this.call.path().rawTarget(),
				this.call.headersFor(remainingMs, this.attempts), this.call.body(), (kept) -> {
				});
		AtomicBoolean failed = new AtomicBoolean();
		return BackendExchange.send(pool::pooled, request, this::receive)
			.next()
			.timeout(this.context.remaining(this.call.deadlineAtMs()),
					Mono.error(() -> timedOut(pool, generation, remainingMs)), this.context.scheduler())
			.flatMap((backendResponse) -> (backendResponse.status() > 0)
					? ServiceHandler.write(this.response, backendResponse) : Mono.<Void>empty())
			.onErrorResume(BackendFailure.class, (failure) -> {
				failed.set(true);
				return retry(selected, failure);
			})
			.doFinally((signal) -> this.servers.callEnded(selected, failed.get()));
	}

	private FescueholdException timedOut(BackendPool pool, Object generation, long remainingMs) {
		pool.evictIdle(generation);
		return FescueholdException.of(ErrorCode.DEADLINE_EXCEEDED, RunStatus.UNKNOWN, 0, remainingMs);
	}

	private Mono<BackendResponse> receive(HttpClientResponse head, ByteBufFlux content) {
		String length = head.responseHeaders().get("content-length");
		boolean buffered = "HEAD".equals(this.call.method())
				|| length != null && length.length() < 10 && Integer.parseInt(length) <= MAX_BUFFERED_BYTES;
		if (buffered || RETRIED_STATUSES.contains(head.status().code())) {
			return BackendExchange.collect(head, content, this.context.options().maxAnswerBytes())
				.flatMap((backendResponse) -> (RETRIED_STATUSES.contains(backendResponse.status()))
						? Mono.error(new BackendFailure(backendResponse)) : Mono.just(backendResponse));
		}
		Flux<ByteBuf> chunks = content.retain();
		ServiceHandler.setHead(this.response, head.status().code(), BackendExchange.headers(head));
		return this.response.send(chunks, (chunk) -> true).then().thenReturn(ServiceHandler.WRITTEN);
	}

	private Mono<Void> retry(ServiceServerSelector.SelectedServer selected, BackendFailure failure) {
		this.mayHaveRun |= failure.kind() != Kind.NOT_SENT;
		this.excluded.add(selected.serverId());
		if (this.response.hasSentHeaders()) {
			return Mono.error(failure);
		}
		if (!this.context.ports().retries().tryRetry()) {
			return Mono.error(refusal(selected, failure));
		}
		this.context.metrics().countRetry();
		this.context.log().backendFailed(this.call.caller(), selected.serverId(), failure, "trying another server");
		return Mono.defer(this::attempt)
			.onErrorMap(FescueholdException.class,
					(error) -> (error.code() == ErrorCode.NO_SERVER || this.mayHaveRun && error.run() == RunStatus.NO)
							? refusal(selected, failure) : error);
	}

	private FescueholdException refusal(ServiceServerSelector.SelectedServer selected, BackendFailure failure) {
		RunStatus run = (this.mayHaveRun) ? RunStatus.UNKNOWN : RunStatus.NO;
		return FescueholdException.of(ErrorCode.SERVER_FAILED, run, RETRY_AFTER_MS, selected.serverId(),
				failure.getMessage());
	}

}
