package io.fescuehold.runtime.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.runtime.backend.BackendAnswer;
import io.fescuehold.runtime.backend.BackendExchange;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendFailure.Kind;
import io.fescuehold.runtime.backend.BackendPool;
import io.fescuehold.runtime.backend.BackendRequest;
import io.netty.buffer.ByteBuf;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Runs one service call that may be repeated. Responses of a known, moderate size are
 * held until they are whole, so that a loss in the middle can be repaired; larger ones
 * are passed through.
 */
final class IdempotentCall {

	private static final int MAX_HELD_BYTES = 262_144;

	private static final long RETRY_AFTER_MS = 1_000;

	private static final Set<Integer> RETRIED_STATUSES = Set.of(502, 503, 504);

	private final RouterContext context;

	private final ServiceServers servers;

	private final ServiceCall call;

	private final HttpServerResponse response;

	private final Set<String> excluded = new HashSet<>();

	private boolean mayHaveRun;

	private int attempts;

	IdempotentCall(RouterContext context, ServiceServers servers, ServiceCall call, HttpServerResponse response) {
		this.context = context;
		this.servers = servers;
		this.call = call;
		this.response = response;
	}

	/**
	 * Runs the call.
	 * @return completes once the response is written; refusals arrive as errors
	 */
	Mono<Void> run() {
		this.context.ports().retries().requestStarted();
		return Mono.defer(this::attempt);
	}

	private Mono<Void> attempt() {
		ServiceServers.Chosen chosen = this.servers.choose(this.call.path().service(),
				this.call.spec(this.context.view()), this.excluded);
		BackendPool pool = this.context.pools().pool(chosen.spec().host(), chosen.spec().port());
		Object generation = pool.generation();
		this.attempts++;
		this.context.metrics().dispatched(this.call.caller());
		long remainingMs = this.context.until(this.call.deadlineAtMs()).toMillis();
		BackendRequest request = new BackendRequest(this.call.method(), this.call.path().rawTarget(),
				this.call.headersFor(remainingMs, this.attempts), this.call.body(), () -> {
				});
		AtomicBoolean failed = new AtomicBoolean();
		return BackendExchange.send(pool::pooled, request, this::receive)
			.next()
			.timeout(this.context.until(this.call.deadlineAtMs()),
					Mono.error(() -> silent(pool, generation, remainingMs)), this.context.scheduler())
			.flatMap((whole) -> (whole.status() > 0) ? ServiceHandler.write(this.response, whole) : Mono.<Void>empty())
			.onErrorResume(BackendFailure.class, (failure) -> {
				failed.set(true);
				return retry(chosen, failure);
			})
			.doFinally((signal) -> this.servers.ended(chosen, failed.get()));
	}

	private FescueholdException silent(BackendPool pool, Object generation, long remainingMs) {
		pool.evictIdle(generation);
		return FescueholdException.of(ErrorCode.DEADLINE_EXCEEDED, RunStatus.UNKNOWN, 0, remainingMs);
	}

	private Mono<BackendAnswer> receive(HttpClientResponse head, ByteBufFlux content) {
		String length = head.responseHeaders().get("content-length");
		boolean held = "HEAD".equals(this.call.method())
				|| length != null && length.length() < 10 && Integer.parseInt(length) <= MAX_HELD_BYTES;
		if (held || RETRIED_STATUSES.contains(head.status().code())) {
			return BackendExchange.collect(head, content, this.context.options().maxAnswerBytes())
				.flatMap((answer) -> (RETRIED_STATUSES.contains(answer.status()))
						? Mono.error(new BackendFailure(answer)) : Mono.just(answer));
		}
		Flux<ByteBuf> passed = content.retain();
		ServiceHandler.head(this.response, head.status().code(), BackendExchange.headers(head));
		return this.response.send(passed, (chunk) -> true).then().thenReturn(ServiceHandler.WRITTEN);
	}

	private Mono<Void> retry(ServiceServers.Chosen chosen, BackendFailure failure) {
		this.mayHaveRun |= failure.kind() != Kind.NOT_SENT;
		this.excluded.add(chosen.serverId());
		if (this.response.hasSentHeaders()) {
			return Mono.error(failure);
		}
		if (!this.context.ports().retries().tryRetry()) {
			return Mono.error(refusal(chosen, failure));
		}
		this.context.metrics().retry();
		this.context.log().backendFailed(this.call.caller(), chosen.serverId(), failure, "trying another server");
		return Mono.defer(this::attempt)
			.onErrorMap(FescueholdException.class,
					(error) -> (error.code() == ErrorCode.NO_SERVER) ? refusal(chosen, failure) : error);
	}

	private FescueholdException refusal(ServiceServers.Chosen chosen, BackendFailure failure) {
		RunStatus run = (this.mayHaveRun) ? RunStatus.UNKNOWN : RunStatus.NO;
		return FescueholdException.of(ErrorCode.SERVER_FAILED, run, RETRY_AFTER_MS, chosen.serverId(),
				failure.getMessage());
	}

}
