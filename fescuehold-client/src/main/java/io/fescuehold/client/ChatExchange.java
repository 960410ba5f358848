package io.fescuehold.client;

import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Obtains one chat answer in one or more attempts. Attempts are sequential, so the state
 * needs no lock. A lost stream is resumed at another router; if the stream no longer
 * exists, the text received so far is continued. Resumptions and continuations replace
 * lost work and are limited by the number of attempts without progress; requests that
 * start from the beginning again are limited by the retry budget.
 */
final class ChatExchange {

	private static final int MAX_FAILURES = 8;

	private static final int MAX_RESUME_FAILURES = 3;

	private static final long NO_ROUTER_TIMEOUT_MS = 10_000;

	private static final long END_TIMEOUT_MS = 200;

	/**
	 * Share of the stall limit without any byte after which an attempt fails; the rest is
	 * left for resuming at another router.
	 */
	private static final int STALL_DETECTION_PERCENT = 50;

	private static final int PERCENT = 100;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int UNAVAILABLE = 503;

	private final StreamAssembler assembler = new StreamAssembler();

	private final ClientContext context;

	private final ChatRequest request;

	private final ChatRequestEncoder encoder;

	private final RouterSelector selector;

	private final long timeoutMs;

	private final long deadlineMs;

	private ChatStreamReader reader = new ChatStreamReader(this.assembler);

	private String stream;

	private byte[] body;

	private long progressAtMs;

	private long lastPosition;

	private int attempts;

	private int failures;

	private int resumeFailures;

	private boolean sent;

	ChatExchange(ClientContext context, ChatRequest request) {
		this.context = context;
		this.request = request;
		this.encoder = new ChatRequestEncoder(request, context.options().team());
		this.selector = context.selector(request.chatId());
		this.timeoutMs = (request.timeoutMs() > 0) ? request.timeoutMs() : context.options().chatTimeoutMs();
		this.progressAtMs = context.nowMs();
		this.deadlineMs = this.progressAtMs + this.timeoutMs;
	}

	/**
	 * Requests the answer; may be subscribed to once.
	 * @return the fragments of the answer's text in order
	 */
	Flux<String> run() {
		this.context.budget().recordRequest();
		Mono<Long> deadline = this.context.after(this.timeoutMs).cache();
		// timeout() cancels the attempt, which takeUntilOther() with an error would leave
		// running.
		return attempt().timeout(deadline, (text) -> deadline, Flux.error(this::deadlineExceeded));
	}

	/**
	 * Returns the whole answer; valid once the stream of fragments has completed.
	 * @return the answer
	 */
	ChatAnswer answer() {
		return new ChatAnswer(this.assembler.text(), (int) this.assembler.position(), this.reader.finishReason(),
				this.reader.promptTokens(), this.reader.cachedTokens(), this.attempts - 1);
	}

	private Flux<String> attempt() {
		return this.selector.next()
			.onErrorMap(this::noRouter)
			.flatMapMany((router) -> connect(router).onErrorResume((ex) -> recover(router, ex)));
	}

	private Flux<String> connect(Address router) {
		if (this.assembler.position() > 0 && this.assembler.position() == this.request.maxTokens()) {
			return Flux.empty();
		}
		this.attempts++;
		this.assembler.startConnection();
		ChatStreamReader next = new ChatStreamReader(this.assembler);
		this.reader = next;
		String hint = this.context.hints().get(this.request.chatId());
		if (this.stream == null) {
			this.body = this.encoder.body(this.assembler.text(), this.assembler.position());
		}
		Flux<WireSignal> signals = this.context.http()
			.send(router, "POST", "/v1/chat/completions",
					this.encoder.headers(hint, this.deadlineMs - this.context.nowMs(), this.attempts, this.stream,
							this.assembler.streamPosition()),
					this.body);
		return signals.timeout(this.context.after(this.context.options().headerLimitMs()), this::readTimeout)
			.concatMapIterable((signal) -> read(next, signal))
			.onErrorComplete((ex) -> next.complete())
			.concatWith(Mono.fromRunnable(next::checkComplete))
			.onBackpressureBuffer();
	}

	private Publisher<Long> readTimeout(WireSignal signal) {
		return this.context.after((ChatStreamReader.endsWithMarker(signal)) ? END_TIMEOUT_MS
				: this.context.options().stallLimitMs() * STALL_DETECTION_PERCENT / PERCENT);
	}

	private Iterable<String> read(ChatStreamReader from, WireSignal signal) {
		this.sent = true;
		Iterable<String> texts = from.read(signal);
		if (signal instanceof WireSignal.Head) {
			this.context.hints().put(this.request.chatId(), from.header("Fescuehold-Chat-Hint"));
			String newStream = from.header("Fescuehold-Stream");
			this.stream = (newStream != null) ? newStream : this.stream;
		}
		return texts;
	}

	private Flux<String> recover(Address router, Throwable failure) {
		if (this.assembler.position() > this.lastPosition) {
			this.lastPosition = this.assembler.position();
			this.progressAtMs = this.context.nowMs();
			this.failures = 0;
			this.resumeFailures = 0;
		}
		if (RouterHttp.provesNotSent(failure)) {
			this.selector.failed(router, true);
			return (sinceProgressMs() > NO_ROUTER_TIMEOUT_MS) ? Flux.error(noRouter(failure)) : attempt();
		}
		this.sent = true;
		this.failures++;
		if (this.failures > MAX_FAILURES) {
			return Flux.error(toException(failure));
		}
		return (failure instanceof RejectedException rejected) ? rejected(router, rejected)
				: connectionLost(router, failure);
	}

	private Flux<String> rejected(Address router, RejectedException rejected) {
		Problem problem = rejected.problem();
		if (this.stream != null && (problem.status() == NOT_FOUND || problem.status() == GONE)) {
			prepareContinuation();
			return attempt();
		}
		if (!problem.retryable()) {
			return Flux.error(toException(rejected));
		}
		if (problem.status() >= UNAVAILABLE || problem.retryAfterMs() == 0) {
			this.selector.failed(router, false);
		}
		if (!prepareRetry()) {
			return Flux.error(toException(rejected));
		}
		if (problem.retryAfterMs() == 0) {
			return attempt();
		}
		if (this.context.nowMs() + problem.retryAfterMs() >= this.deadlineMs) {
			return Flux.error(toException(rejected));
		}
		return this.context.after(problem.retryAfterMs()).flatMapMany((tick) -> attempt());
	}

	private Flux<String> connectionLost(Address router, Throwable failure) {
		this.selector.failed(router, true);
		this.context.http().evictIdle(router);
		return prepareRetry() ? attempt() : Flux.error(toException(failure));
	}

	/**
	 * Prepares the next attempt and decides whether it is allowed.
	 * @return whether there is a stream to resume, a text to continue or a retry left in
	 * the budget
	 */
	private boolean prepareRetry() {
		if (this.stream != null && !this.reader.moved() && this.resumeFailures < MAX_RESUME_FAILURES) {
			this.resumeFailures++;
			return true;
		}
		prepareContinuation();
		return this.assembler.position() > 0 || this.context.budget().tryAcquireRetry();
	}

	private void prepareContinuation() {
		this.stream = null;
		this.assembler.startContinuation();
	}

	private long sinceProgressMs() {
		return this.context.nowMs() - this.progressAtMs;
	}

	private FescueholdClientException toException(Throwable failure) {
		if (failure instanceof RejectedException rejected) {
			boolean onlyAttempt = this.attempts == 1;
			return rejected.problem().toException((onlyAttempt) ? rejected.problem().run() : RunStatus.UNKNOWN);
		}
		return new FescueholdClientException(FescueholdClientException.CONNECTION_LOST, RunStatus.UNKNOWN,
				"The answer of chat \"" + this.request.chatId() + "\" was lost after " + this.assembler.position()
						+ " tokens and " + this.attempts + " attempts: " + failure.getMessage(),
				"retry the request", 0, failure);
	}

	private FescueholdClientException noRouter(Throwable failure) {
		return new FescueholdClientException(FescueholdClientException.NO_ROUTER,
				(this.sent) ? RunStatus.UNKNOWN : RunStatus.NO, "No router could be reached: " + failure.getMessage(),
				"check the entry addresses and the network", 0, failure);
	}

	private FescueholdClientException deadlineExceeded() {
		return new FescueholdClientException(FescueholdClientException.DEADLINE_EXCEEDED,
				(this.sent || this.attempts > 0) ? RunStatus.UNKNOWN : RunStatus.NO,
				"The answer was not complete within " + this.timeoutMs + " ms", "allow more time or retry the request",
				0, null);
	}

}
