package io.fescuehold.runtime.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.fescuehold.config.ModelServerSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.stream.StallDetector;
import io.fescuehold.core.stream.StreamPosition;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendFailure.Kind;
import io.fescuehold.runtime.backend.BackendResponse;
import io.fescuehold.runtime.backend.ModelServerClient;
import io.fescuehold.runtime.backend.StallGuard;
import io.fescuehold.runtime.backend.StreamDeadline;
import io.fescuehold.runtime.backend.StreamPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.core.publisher.SynchronousSink;

/**
 * Runs one chat request. Its stream is recovered after failures of connections and
 * servers: it is resumed on the same server or continued on another one.
 */
final class ChatExchange {

	private static final Duration EXCLUDED_SERVERS_RETRY_DELAY = Duration.ofMillis(250);

	private static final Duration HANDOVER_TIMEOUT = Duration.ofMillis(300);

	private static final long RETRY_AFTER_MS = 1_000;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVER_ERROR = 500;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int REQUEST_TIMEOUT = 408;

	private final RouterContext context;

	private final CallerRequest caller;

	private final ChatBody body;

	private final String share;

	private final long deadlineAtMs;

	private final ModelPlacement placement;

	private final StreamPosition position;

	private final CompletionAccumulator completion;

	private final AtomicBoolean ended = new AtomicBoolean();

	private volatile ModelPlacement.Target target;

	private volatile String streamId;

	private volatile boolean finished;

	private boolean mayHaveRun;

	private long earlierTokens;

	private long resumedAtPosition = -1;

	private int recoveries;

	private String announcedSource;

	private Object poolGeneration;

	ChatExchange(RouterContext context, CallerRequest caller, ChatBody body, String share, long deadlineAtMs) {
		this.context = context;
		this.caller = caller;
		this.body = body;
		this.share = share;
		this.deadlineAtMs = deadlineAtMs;
		this.placement = new ModelPlacement(context, caller, body, share, deadlineAtMs);
		this.position = new StreamPosition(Math.max(0, caller.lastEventId()));
		this.completion = new CompletionAccumulator(context.options().maxAnswerBytes());
	}

	/**
	 * Runs the request.
	 * @return groups of parts with consecutive positions; the first group consists of a
	 * head only, and a further head follows whenever another stream takes over
	 */
	Flux<List<StreamPart>> parts() {
		Flux<List<StreamPart>> parts = Flux
			.defer(() -> (this.caller.stream() != null) ? resumeForCaller() : attempt(this::open));
		return StreamDeadline
			.limit(parts, this.context.remaining(this.deadlineAtMs), this::deadlineExceeded, this.context.scheduler())
			.doFinally(this::end);
	}

	/**
	 * Runs the request without streaming, for responses that cannot be assembled from a
	 * stream. After a failure, another server is tried within the retry budget.
	 * @return the response
	 */
	Mono<BackendResponse> nonStreaming() {
		return Mono.defer(this::openNonStreaming)
			.timeout(this.context.remaining(this.deadlineAtMs), Mono.error(this::deadlineExceeded),
					this.context.scheduler())
			.doFinally(this::end);
	}

	private Mono<BackendResponse> openNonStreaming() {
		ModelPlacement.Target chosen = this.placement.place(0);
		this.target = chosen;
		this.context.metrics().recordAddedLatency(this.caller);
		byte[] json = this.body.toServerRequest(this.caller.priority(), false);
		return ModelServerClient
			.complete(chosen.pool(), this.placement.headers(), json, this.context.options().maxAnswerBytes())
			.flatMap((response) -> (response.status() >= SERVER_ERROR || response.status() == TOO_MANY_REQUESTS)
					? Mono.<BackendResponse>error(new BackendFailure(response)) : Mono.just(response))
			.doOnNext((response) -> this.finished = true)
			.onErrorResume(BackendFailure.class, this::retryNonStreaming);
	}

	private Mono<BackendResponse> retryNonStreaming(BackendFailure failure) {
		ModelPlacement.Target failed = this.target;
		this.mayHaveRun |= failure.kind() != Kind.NOT_SENT;
		releaseServer(failed);
		if (!tryStartRecovery() || !this.context.ports().retries().tryRetry()) {
			return Mono.error(serverFailed(failed.serverId(), failure.getMessage()));
		}
		this.context.metrics().countRetry();
		return Mono.defer(this::openNonStreaming);
	}

	private FescueholdException deadlineExceeded() {
		long allowedMs = (this.caller.deadlineMs() > 0) ? this.caller.deadlineMs()
				: this.context.options().defaultDeadlineMs();
		return FescueholdException.of(ErrorCode.DEADLINE_EXCEEDED, runStatus(), 0, allowedMs);
	}

	private Flux<List<StreamPart>> resumeForCaller() {
		StreamRef stream = this.caller.stream();
		FleetView.Owned<ModelServerSpec> owned = this.context.view().modelServers().get(stream.serverId());
		if (owned == null) {
			return continueForCaller();
		}
		this.target = new ModelPlacement.Target(stream.serverId(), owned.spec(), this.context.pool(owned.spec()), null,
				null);
		this.streamId = stream.streamId();
		this.mayHaveRun = true;
		Mono<Void> handover = (stream.routerHostId().equals(this.context.ports().hostId())) ? Mono.empty()
				: this.context.ports()
					.handover()
					.announce(stream.routerHostId(), stream.serverId(), stream.streamId())
					.timeout(HANDOVER_TIMEOUT, this.context.scheduler())
					.onErrorComplete();
		this.context.pendingCancels().keepStream(stream.serverId(), stream.streamId());
		// The resume does not wait for the announcement: the other router may be
		// unresponsive, and it keeps a stream for callerGraceMs, much longer than the
		// announcement takes.
		handover.subscribe();
		return attempt(this::resume);
	}

	private Flux<List<StreamPart>> continueForCaller() {
		if (this.body == null || this.caller.lastEventId() > 0 && !this.body.continuesFinalMessage()) {
			return Flux.error(
					FescueholdException.of(ErrorCode.STREAM_GONE, RunStatus.UNKNOWN, 0, this.caller.stream().format()));
		}
		return attempt(this::open);
	}

	private Flux<List<StreamPart>> attempt(Supplier<Flux<List<StreamPart>>> source) {
		return Flux.defer(source)
			.<List<StreamPart>>handle(this::accept)
			.concatWith(Mono.defer(this::checkFinished))
			.onErrorResume(this::recover);
	}

	private Flux<List<StreamPart>> open() {
		this.target = null;
		this.streamId = null;
		this.earlierTokens = this.position.last();
		ModelPlacement.Target chosen = this.placement.place(this.position.last());
		this.target = chosen;
		byte[] json = (this.position.last() == 0) ? this.body.toServerRequest(this.caller.priority(), true)
				: this.body.toContinuationRequest(this.caller.priority(), this.completion.text(), this.position.last());
		this.context.metrics().recordAddedLatency(this.caller);
		Flux<List<StreamPart>> stream = ModelServerClient.open(chosen.pool(), this.placement.headers(), json);
		return this.placement.importCache(chosen)
			.thenMany(guard(stream, StallDetector.ofRequest(stallLimitMs(), this.context.nowMs())));
	}

	private Flux<List<StreamPart>> resume() {
		this.resumedAtPosition = this.position.last();
		Flux<List<StreamPart>> stream = ModelServerClient.resume(this.target.pool(), this.streamId,
				this.position.last() - this.earlierTokens);
		return guard(stream, StallDetector.ofResume(stallLimitMs(), this.context.nowMs()));
	}

	private Flux<List<StreamPart>> guard(Flux<List<StreamPart>> stream, StallDetector detector) {
		this.poolGeneration = this.target.pool().generation();
		return new StallGuard<>(stream, detector, this.context.scheduler(), this.context.clockMs());
	}

	private long stallLimitMs() {
		return this.context.policy(this.share).stallLimitMs();
	}

	private void accept(List<StreamPart> group, SynchronousSink<List<StreamPart>> sink) {
		List<StreamPart> accepted = new ArrayList<>(group.size());
		BackendFailure failure = null;
		try {
			group.forEach((part) -> accept(part, accepted));
		}
		catch (BackendFailure ex) {
			failure = ex;
		}
		if (!accepted.isEmpty()) {
			sink.next(accepted);
		}
		if (failure != null) {
			sink.error(failure);
		}
	}

	private void accept(StreamPart part, List<StreamPart> accepted) {
		switch (part) {
			case StreamPart.Head head -> accept(head, accepted);
			case StreamPart.Comment() -> {
				// Dropped, because the router sends its own heartbeats to the caller.
			}
			case StreamPart.Event event -> accept(event, accepted);
			case StreamPart.Done done -> {
				if (!this.finished) {
					this.finished = true;
					accepted.add(done);
				}
			}
		}
	}

	private void accept(StreamPart.Head head, List<StreamPart> accepted) {
		this.streamId = (head.streamId() != null) ? head.streamId() : this.streamId;
		if (this.streamId != null) {
			this.context.pendingCancels().registerOwner(this.target.serverId(), this.streamId, this);
		}
		String source = this.target.serverId() + ";" + this.streamId;
		if (!source.equals(this.announcedSource)) {
			this.announcedSource = source;
			accepted.add(new StreamPart.Head(this.streamId));
		}
	}

	private void accept(StreamPart.Event event, List<StreamPart> accepted) {
		long callerPosition = (event.position() > 0) ? this.earlierTokens + event.position() : this.position.last();
		switch (this.position.accept(callerPosition)) {
			case NEXT -> accepted.add(deliver(event));
			case REPEAT -> {
				// A final event may repeat the position of the last token or have none.
				if (callerPosition == this.position.last() && this.completion.addsFinishReasonOrUsage(event.data())) {
					accepted.add(deliver(event));
				}
			}
			case GAP -> throw new BackendFailure(Kind.PROTOCOL,
					"position " + callerPosition + " follows " + this.position.last(), null);
		}
	}

	private StreamPart deliver(StreamPart.Event event) {
		return new StreamPart.Event(this.position.last(), this.completion.add(event.data(), this.earlierTokens));
	}

	private Mono<List<StreamPart>> checkFinished() {
		return (this.finished) ? Mono.empty()
				: Mono.error(new BackendFailure(Kind.LOST, "the stream ended before its last event", null));
	}

	private Flux<List<StreamPart>> recover(Throwable error) {
		if (this.finished) {
			return Flux.empty();
		}
		if (this.completion.hasFinishReason()) {
			this.finished = true;
			return Flux.just(List.of(new StreamPart.Done()));
		}
		return switch (error) {
			case FescueholdException refusal -> recoverFromRefusal(refusal);
			case BackendFailure failure -> recoverFromFailure(failure);
			default -> Flux.error(error);
		};
	}

	private Flux<List<StreamPart>> recoverFromRefusal(FescueholdException refusal) {
		boolean retried = refusal.code() == ErrorCode.NO_SERVER && this.position.last() > 0 && tryStartRecovery()
				&& this.placement.clearExclusions();
		if (!retried) {
			return Flux.error((this.mayHaveRun)
					? serverFailed((this.target != null) ? this.target.serverId() : "any", refusal.getMessage())
					: refusal);
		}
		return Mono.delay(EXCLUDED_SERVERS_RETRY_DELAY, this.context.scheduler()).thenMany(attempt(this::open));
	}

	private Flux<List<StreamPart>> recoverFromFailure(BackendFailure failure) {
		this.mayHaveRun |= failure.kind() != Kind.NOT_SENT;
		if (failure.kind() == Kind.STALLED) {
			this.context.metrics().countStall();
			this.target.pool().evictIdle(this.poolGeneration);
		}
		if (isClientError(failure)) {
			return Flux.error(failure);
		}
		if (!tryStartRecovery()) {
			return Flux.error(serverFailed(this.target.serverId(), failure.getMessage()));
		}
		if (canResume(failure)) {
			this.context.metrics().countResume();
			this.context.log()
				.backendFailed(this.caller, this.target.serverId(), failure, "resuming the stream on the same server");
			return attempt(this::resume);
		}
		return moveToAnotherServer(failure);
	}

	private boolean tryStartRecovery() {
		this.recoveries++;
		return this.recoveries <= this.context.options().maxRecoveries();
	}

	private boolean isClientError(BackendFailure failure) {
		int status = failure.response().status();
		return failure.kind() == Kind.STATUS && status >= BAD_REQUEST && status < SERVER_ERROR && status != NOT_FOUND
				&& status != REQUEST_TIMEOUT && status != TOO_MANY_REQUESTS;
	}

	private boolean canResume(BackendFailure failure) {
		return this.streamId != null && this.target.spec().resumesStreams() && failure.kind() != Kind.STATUS
				&& this.resumedAtPosition != this.position.last();
	}

	private Flux<List<StreamPart>> moveToAnotherServer(BackendFailure failure) {
		ModelPlacement.Target failed = this.target;
		releaseServer(failed);
		this.context.log().backendFailed(this.caller, failed.serverId(), failure, "moving to another server");
		if (this.caller.stream() != null && failed.request() == null) {
			return continueForCaller();
		}
		boolean inBudget = this.context.ports().retries().tryRetry();
		if (this.position.last() == 0) {
			this.context.metrics().countRetry();
			return (inBudget) ? attempt(this::open) : Flux.error(serverFailed(failed.serverId(), failure.getMessage()));
		}
		if (!this.completion.isContinuable()) {
			return Flux.error(serverFailed(failed.serverId(), failure.getMessage()));
		}
		if (this.body.isLimitReached(this.position.last())) {
			return endAtLimit();
		}
		this.context.metrics().countContinuation();
		return attempt(this::open);
	}

	private void releaseServer(ModelPlacement.Target failed) {
		if (this.streamId != null
				&& this.context.pendingCancels().removeOwner(failed.serverId(), this.streamId, this)) {
			ModelServerClient.cancel(failed.pool(), this.streamId).subscribe();
		}
		if (failed.request() != null) {
			this.placement.failed(failed);
		}
		this.target = null;
		this.streamId = null;
	}

	private Flux<List<StreamPart>> endAtLimit() {
		this.finished = true;
		String last = "{\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},"
				+ "\"finish_reason\":\"length\"}]}";
		return Flux.just(List.of(new StreamPart.Event(this.position.last(), this.completion.add(last, 0)),
				new StreamPart.Done()));
	}

	private FescueholdException serverFailed(String serverId, String reason) {
		return FescueholdException.of(ErrorCode.SERVER_FAILED, runStatus(), RETRY_AFTER_MS, serverId, reason);
	}

	private RunStatus runStatus() {
		return (this.mayHaveRun || this.target != null) ? RunStatus.UNKNOWN : RunStatus.NO;
	}

	private void end(SignalType signal) {
		ModelPlacement.Target current = this.target;
		if (current == null || !this.ended.compareAndSet(false, true)) {
			return;
		}
		boolean stillServing = this.streamId != null
				&& this.context.pendingCancels().removeOwner(current.serverId(), this.streamId, this);
		if (!this.finished && stillServing) {
			boolean callerMayReconnect = signal == SignalType.CANCEL && (this.body == null || this.body.isStreamed());
			this.context.pendingCancels()
				.cancel(current, this.streamId, (callerMayReconnect) ? this.context.options().callerGraceMs() : 0);
		}
		if (current.request() != null) {
			long total = this.body.promptTokens() + this.position.last();
			this.placement.finished(current, (this.finished || signal == SignalType.CANCEL)
					? new ServedOutcome(true, this.completion.cachedTokens(), this.completion.totalTokens(total))
					: ServedOutcome.FAILED);
		}
	}

	/**
	 * Returns the id of the server that holds the stream.
	 * @return the server id
	 */
	String serverId() {
		return this.target.serverId();
	}

	/**
	 * Returns the assembled response. Called after {@link #parts()} has completed.
	 * @return the response as JSON
	 */
	byte[] assembled() {
		return this.completion.assemble();
	}

	/**
	 * Returns the number of tokens of the chat in the cache of its server.
	 * @return the number of tokens, estimated until the server has reported usage
	 */
	long chatTokens() {
		return this.completion
			.totalTokens((this.body != null) ? this.body.promptTokens() + this.position.last() : this.position.last());
	}

}
