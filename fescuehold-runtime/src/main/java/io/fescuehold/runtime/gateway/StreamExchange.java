package io.fescuehold.runtime.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.StreamVersions;
import io.fescuehold.core.stream.EventSplitter;
import io.fescuehold.core.stream.StreamEvent;
import io.fescuehold.core.streamversion.StreamRecord;
import io.fescuehold.core.streamversion.VersionVerdict;
import io.fescuehold.runtime.backend.BackendExchange;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendResponse;
import io.fescuehold.runtime.backend.StreamDeadline;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Exchange of one streaming request. Only complete events are forwarded, so that another
 * server can resume an interrupted stream after the last forwarded event, where the route
 * allows it; the caller sees one stream without missing or repeated events.
 */
final class StreamExchange {

	private static final int MAX_EVENT_BYTES = 256 << 10;

	private static final int OK = 200;

	private static final String EVENT_STREAM = "text/event-stream";

	/**
	 * Multiple of the route's latency objective after which a stream without a first
	 * event counts as stalled.
	 */
	private static final int FIRST_EVENT_FACTOR = 2;

	/**
	 * Multiple of the route's gap objective after which a stream without a further event
	 * counts as stalled; callers themselves abandon a stream at eight times the
	 * objective.
	 */
	private static final int GAP_FACTOR = 3;

	private static final long MIN_STALL_MS = 900;

	/**
	 * The silence of a server that still accepts connections, in which it counts as
	 * paused and not as stalled.
	 */
	private static final long MAX_PAUSE_MS = 1_500;

	/** The time before the end of the stall limit at which the server is probed. */
	private static final long PROBE_AHEAD_MS = 300;

	/** Interval at which a stalled stream that could not be moved is checked again. */
	private static final long STALL_CHECK_INTERVAL_MS = 100;

	private final Dispatcher dispatcher;

	private final Scheduler scheduler;

	private final GatewayLog log;

	private final GatewayRequest request;

	private final Attempts attempts;

	private final StreamVersions versions;

	private long position;

	private boolean headSent;

	/** The type of the response that began the stream. */
	private String mediaType = "";

	private boolean contiguous;

	private boolean progressed;

	private long progressAtMs;

	private long attemptAtMs;

	/** The bytes of the event that is not complete. */
	private long heldBytes;

	/** The second copy of the request, or null if there is none or it has lost. */
	private StreamExchange copy;

	private boolean copyWon;

	StreamExchange(Dispatcher dispatcher, Scheduler scheduler, GatewayLog log, StreamVersions versions,
			GatewayRequest request) {
		this(dispatcher, scheduler, log, versions, request, new Attempts(dispatcher, log, request));
	}

	private StreamExchange(Dispatcher dispatcher, Scheduler scheduler, GatewayLog log, StreamVersions versions,
			GatewayRequest request, Attempts attempts) {
		this.dispatcher = dispatcher;
		this.scheduler = scheduler;
		this.log = log;
		this.request = request;
		this.versions = versions;
		this.attempts = attempts;
		this.position = request.head().resumeAfter();
	}

	/**
	 * Runs the request.
	 * @return the head and the events, or one complete response; errors with the error
	 * for the caller, also between events
	 */
	Flux<StreamItem> run() {
		long leftMs = this.request.leftMs(this.dispatcher.nowMs());
		Flux<StreamItem> items = (this.request.head().takesUp() && !this.attempts.binding().isBound()) ? takeUp()
				: copies();
		return StreamDeadline.limit(items, Duration.ofMillis(Math.max(1, leftMs)), this::deadlineExceeded,
				this.scheduler);
	}

	// The race is decided by the first element, so that all events come from one copy.
	private Flux<StreamItem> copies() {
		Flux<StreamItem> first = Flux.defer(this::attempt);
		Hedging hedging = this.dispatcher.hedging();
		if (!hedging.appliesTo(this.request)) {
			return first;
		}
		return CopyRace.run(first, hedging.due(this.request, this.scheduler), this::secondCopy,
				StreamExchange::isServerError, (secondWon) -> {
					copyEnded(secondWon);
					hedging.recordOutcome(this.request, secondWon);
				});
	}

	private static boolean isServerError(StreamItem item) {
		return item instanceof StreamItem.Complete(BackendResponse backendResponse)
				&& backendResponse.status() >= CallExchange.SERVER_ERROR;
	}

	private Flux<StreamItem> secondCopy() {
		Attempts second = this.attempts.secondCopy();
		if (second == null) {
			return Flux.empty();
		}
		this.copy = new StreamExchange(this.dispatcher, this.scheduler, this.log, this.versions, this.request, second);
		return Flux.defer(this.copy::attemptAsSecondCopy);
	}

	// The hosts record one version for a stream, whichever copy wins. A server of another
	// version can therefore not take over if that of the second copy rejects it.
	private Flux<StreamItem> attemptAsSecondCopy() {
		Flux<StreamItem> items = attempt();
		this.attempts.bindToCurrentServer();
		return items;
	}

	/**
	 * Returns the software version that began the stream.
	 * @return the version, or null if it is unknown
	 */
	String version() {
		return this.copyWon ? this.copy.version() : this.attempts.binding().version();
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

	/**
	 * Returns the position of the last forwarded event.
	 * @return the position, initially the one after which the caller resumes
	 */
	long position() {
		return this.copyWon ? this.copy.position() : this.position;
	}

	private Flux<StreamItem> takeUp() {
		return this.versions.find(this.request.head().resumes(), this.request.service()).flatMapMany((verdict) -> {
			this.log.takenUp(this.request, verdict);
			return switch (verdict) {
				case VersionVerdict.Recorded(StreamRecord began) when began.service().equals(this.request.service()) ->
					continueAt(began.version());
				case VersionVerdict.Recorded(StreamRecord began) -> unknownVersion("it began at service \""
						+ began.service() + "\", the route now leads to \"" + this.request.service() + "\"");
				case VersionVerdict.OnlyVersion(String version) -> continueAt(version);
				case VersionVerdict.Unknown(String reason) -> unknownVersion(reason);
				case VersionVerdict.Open open -> unknownVersion("the search has not ended");
			};
		});
	}

	private Flux<StreamItem> continueAt(String version) {
		this.attempts.binding().toVersion(version);
		return attempt();
	}

	private Flux<StreamItem> unknownVersion(String reason) {
		return Flux.error(FescueholdException.of(ErrorCode.STREAM_VERSION_UNKNOWN, RunStatus.NO, 0,
				this.request.head().resumes(), reason));
	}

	private Flux<StreamItem> attempt() {
		Dispatcher.Target target = this.attempts.next();
		this.attempts.started();
		this.attemptAtMs = this.dispatcher.nowMs();
		Flux<StreamItem> items = BackendExchange
			.send(this.dispatcher.client(target), this.attempts.prepare(this.headSent ? this.position : -1),
					(head, content) -> receive(target, head, content))
			.doFinally((signal) -> this.attempts.ended(target));
		items = StreamDeadline.cut(failIfStalled(target, items), this.attempts.withdrawal().signal(),
				this.attempts::withdrawalError);
		return items.onErrorResume(this::afterFailure).concatMap(this::evaluate, 1);
	}

	// Only events with a position count as progress, so that a server that sends nothing
	// but comments is treated as stalled. A slow stream is only cancelled if another
	// server can take it over.
	private Flux<StreamItem> failIfStalled(Dispatcher.Target target, Flux<StreamItem> items) {
		if (!this.attempts.hasRetryLeft()) {
			return items;
		}
		this.progressAtMs = this.dispatcher.nowMs();
		this.progressed = false;
		Mono<Long> stalled = Mono
			.defer(() -> Mono.delay(
					Duration.ofMillis(Math.max(STALL_CHECK_INTERVAL_MS, untilStallMs() - PROBE_AHEAD_MS)),
					this.scheduler))
			.filterWhen((tick) -> isStalled(target))
			.publishOn(this.scheduler)
			.filter((tick) -> untilStallMs() <= 0 && this.attempts.reserveRetry())
			.repeatWhenEmpty((empty) -> empty);
		return StreamDeadline.cut(items, stalled, () -> new BackendFailure(BackendFailure.Kind.STALLED,
				"no event for " + (this.dispatcher.nowMs() - this.progressAtMs) + " ms", null));
	}

	private Mono<Boolean> isStalled(Dispatcher.Target target) {
		long silentMs = this.dispatcher.nowMs() - this.progressAtMs;
		long maxPauseMs = Math.min(MAX_PAUSE_MS, (this.request.deadlineAtMs() - this.request.receivedAtMs()) / 2);
		if (untilStallMs() > PROBE_AHEAD_MS) {
			return Mono.just(false);
		}
		return (silentMs >= maxPauseMs) ? Mono.just(true)
				: this.dispatcher.relays().acceptsConnections(target).map((accepts) -> !accepts);
	}

	private long untilStallMs() {
		long limitMs = this.progressed ? (long) GAP_FACTOR * this.request.route().gapObjectiveMs()
				: (long) FIRST_EVENT_FACTOR * this.request.route().objectiveMs();
		return this.progressAtMs + Math.max(MIN_STALL_MS, limitMs) - this.dispatcher.nowMs();
	}

	private Publisher<StreamItem> receive(Dispatcher.Target target, HttpClientResponse response, ByteBufFlux content) {
		Map<String, String> headers = BackendExchange.headers(response);
		int status = response.status().code();
		AnswerVerdict verdict = this.attempts.judge(status, headers);
		return switch (verdict) {
			case AnswerVerdict.Unproven(String reason) -> protocolFailure(reason);
			case AnswerVerdict.Refused refused -> collect(response, content, verdict);
			case AnswerVerdict.NotRun notRun -> collect(response, content, verdict);
			case AnswerVerdict.UnprovenRejection rejection -> collect(response, content, verdict);
			case AnswerVerdict.Signed signed when status != OK -> collect(response, content, verdict);
			case AnswerVerdict.Signed signed -> receiveStream(target, headers, content);
		};
	}

	private Publisher<StreamItem> collect(HttpClientResponse response, ByteBufFlux content, AnswerVerdict verdict) {
		return BackendExchange.collect(response, content, CallExchange.MAX_RESPONSE_BYTES, this.request.memory())
			.map((backendResponse) -> new StreamItem.Judged(backendResponse, verdict));
	}

	private Flux<StreamItem> receiveStream(Dispatcher.Target target, Map<String, String> headers, ByteBufFlux content) {
		String type = mediaType(headers);
		if (!continues(type)) {
			return protocolFailure("the response that continues the stream has media type " + type);
		}
		EventSplitter splitter = new EventSplitter(MAX_EVENT_BYTES);
		// The caller may resume after any event, but a server must continue with the
		// event
		// after the position that this host named.
		this.contiguous = this.headSent && this.position > 0;
		Flux<StreamItem> events = content.asByteArray()
			.concatMapIterable((bytes) -> split(splitter, bytes))
			.doFinally((signal) -> hold(0))
			.concatMap((event) -> forwardEvent(target, new StreamItem.Head(OK, headers), event))
			.doOnNext(this::forwarded);
		boolean framed = BackendExchange.isFramed(headers);
		return events
			.concatWith(Flux.defer(() -> endStream(target, new StreamItem.Head(OK, headers), splitter, framed)));
	}

	// A continuation of another type is an error that the server sent as a success.
	private boolean continues(String type) {
		if (this.headSent) {
			return type.equals(this.mediaType);
		}
		return !this.request.head().takesUp() || type.isEmpty() || type.equals(EVENT_STREAM);
	}

	private static String mediaType(Map<String, String> headers) {
		return headers.getOrDefault("content-type", "").split(";")[0].strip().toLowerCase(Locale.ROOT);
	}

	private Iterable<StreamEvent> split(EventSplitter splitter, byte[] bytes) {
		try {
			List<StreamEvent> events = splitter.append(bytes);
			if (!hold(splitter.heldBytes())) {
				throw new BackendFailure(BackendFailure.Kind.HOST_MEMORY_FULL,
						"this host may not hold the event of " + splitter.heldBytes() + " bytes beside other requests",
						null);
			}
			return events;
		}
		catch (IllegalArgumentException ex) {
			throw new BackendFailure(BackendFailure.Kind.PROTOCOL, ex.getMessage(), ex);
		}
	}

	private boolean hold(long bytes) {
		long moreBytes = bytes - this.heldBytes;
		if (moreBytes > 0 && !this.request.memory().tryReserve(moreBytes)) {
			return false;
		}
		this.request.memory().release(-Math.min(0, moreBytes));
		this.heldBytes = bytes;
		return true;
	}

	private Flux<StreamItem> forwardEvent(Dispatcher.Target target, StreamItem.Head head, StreamEvent event) {
		if (this.headSent) {
			return emitEvent(event);
		}
		if (!this.request.head().takesUp()) {
			long nowMs = this.dispatcher.nowMs();
			this.dispatcher.placement().recordFirstEvent(target, nowMs - this.attemptAtMs, nowMs);
		}
		// The attempt may fail while the record is made. Nothing has been sent then, so
		// that the next one begins with this event.
		return recordVersion()
			.thenMany(Flux.defer(() -> emitHead(target, head).concatWith(Flux.defer(() -> emitEvent(event)))));
	}

	private Flux<StreamItem> emitEvent(StreamEvent event) {
		if (event.position() > 0) {
			if (event.position() <= this.position) {
				return Flux.empty();
			}
			if (this.contiguous && event.position() != this.position + 1) {
				return protocolFailure("event " + event.position() + " follows event " + this.position);
			}
		}
		return Flux.just(new StreamItem.Event(event.bytes(), event.position()));
	}

	// An event that still waits for the caller is dropped if the server's connection
	// breaks, and must then be asked for again.
	private void forwarded(StreamItem item) {
		if (item instanceof StreamItem.Event event && event.position() > 0) {
			this.position = event.position();
			this.contiguous = true;
			this.progressed = true;
			this.progressAtMs = this.dispatcher.nowMs();
			this.attempts.eventReceived();
		}
	}

	// Emits the head only once, even if several servers contribute to the stream.
	private Flux<StreamItem> emitHead(Dispatcher.Target target, StreamItem.Head head) {
		if (this.headSent) {
			return Flux.empty();
		}
		this.headSent = true;
		this.mediaType = mediaType(head.headers());
		this.dispatcher.recordPromptRead(this.request, target);
		return Flux.just(head);
	}

	// Emits the head even without events: a caller may resume after the last event.
	private Flux<StreamItem> endStream(Dispatcher.Target target, StreamItem.Head head, EventSplitter splitter,
			boolean framed) {
		if (splitter.isInsideEvent()) {
			return protocolFailure("the stream ends in the middle of an event");
		}
		this.attempts.served(framed);
		if (!this.request.head().takesUp()) {
			this.dispatcher.placement().recordLength(this.request, target, this.position);
		}
		return emitHead(target, head);
	}

	private Mono<Void> recordVersion() {
		String version = this.attempts.bindToCurrentServer();
		String streamId = this.request.head().streamId();
		if (version == null || streamId.isEmpty() || !this.request.route().isRepeatable()) {
			return Mono.empty();
		}
		return this.versions.record(new StreamRecord(streamId, this.request.service(), version));
	}

	private static Flux<StreamItem> protocolFailure(String message) {
		return Flux.error(new BackendFailure(BackendFailure.Kind.PROTOCOL, message, null));
	}

	private Publisher<StreamItem> evaluate(StreamItem item) {
		if (!(item instanceof StreamItem.Judged(BackendResponse backendResponse, AnswerVerdict verdict))) {
			return Mono.just(item);
		}
		return switch (verdict) {
			case AnswerVerdict.Refused(FescueholdException refusal) ->
				failOrRetry(this.attempts.afterRelayRefusal(refusal));
			case AnswerVerdict.NotRun(boolean otherInstance) ->
				failOrRetry(this.attempts.afterRejection(backendResponse.status(), otherInstance));
			case AnswerVerdict.UnprovenRejection(int status) ->
				failOrRetry(this.attempts.afterUnprovenRejection(status));
			case AnswerVerdict.Unproven(String reason) -> protocolFailure(reason);
			case AnswerVerdict.Signed signed -> evaluateSigned(backendResponse);
		};
	}

	private Publisher<StreamItem> evaluateSigned(BackendResponse backendResponse) {
		if (backendResponse.status() >= CallExchange.SERVER_ERROR && this.attempts.retriesAfterError(backendResponse)) {
			return attempt();
		}
		if (this.headSent) {
			return protocolFailure(
					"the server that was to resume the stream responded with status " + backendResponse.status());
		}
		return Mono.just(new StreamItem.Complete(backendResponse));
	}

	private Flux<StreamItem> afterFailure(Throwable failure) {
		return failOrRetry(this.attempts.afterFailure(failure));
	}

	private Flux<StreamItem> failOrRetry(RuntimeException refusal) {
		return (refusal != null) ? Flux.error(refusal)
				: this.attempts.beforeRetry().thenMany(Flux.defer(this::attempt));
	}

}
