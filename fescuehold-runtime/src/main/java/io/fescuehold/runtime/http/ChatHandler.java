package io.fescuehold.runtime.http;

import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.placement.ChatHint;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendResponse;
import io.fescuehold.runtime.backend.StreamPart;
import io.fescuehold.runtime.http.port.Admission;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles chat requests: admits them and writes streaming and non-streaming responses.
 */
final class ChatHandler {

	private static final String JSON = "application/json";

	private static final int OK = 200;

	private final RouterContext context;

	private final BodyReader bodyReader;

	private final SseEncoder encoder;

	ChatHandler(RouterContext context) {
		this.context = context;
		this.bodyReader = new BodyReader(context.options().maxBodyBytes(), context.options().requestReadTimeoutMs(),
				context.scheduler());
		this.encoder = new SseEncoder(context);
	}

	/**
	 * Handles a request.
	 * @param caller the headers of the request
	 * @param request the request
	 * @param response the response
	 * @return completes once the response is written; refusals are signalled as errors
	 */
	Mono<Void> handle(CallerRequest caller, HttpServerRequest request, HttpServerResponse response) {
		return this.bodyReader.read(request).flatMap((bytes) -> handle(caller, bytes, response));
	}

	private Mono<Void> handle(CallerRequest caller, byte[] bytes, HttpServerResponse response) {
		String team = caller.requireTeam();
		String share = this.context.view().shareOf(team, caller.chatId());
		if (share == null) {
			throw new FescueholdException(ErrorCode.UNKNOWN_TEAM, team);
		}
		long allowedMs = (caller.deadlineMs() > 0) ? caller.deadlineMs() : this.context.options().defaultDeadlineMs();
		long deadlineAtMs = this.context.nowMs() + allowedMs;
		if (bytes.length == 0 && caller.stream() != null) {
			return respondStreaming(new ChatExchange(this.context, caller, null, share, deadlineAtMs), caller,
					response);
		}
		ChatBody body = ChatBody.parse(bytes);
		Admission.Request admissionRequest = new Admission.Request(team, share, body.model(),
				body.promptTokens() + body.maxOutputTokens(), caller.priority(), deadlineAtMs);
		this.context.ports().retries().requestStarted();
		return this.context.ports()
			.admission()
			.admit(admissionRequest)
			.flatMap((permit) -> serve(new ChatExchange(this.context, caller, body, share, deadlineAtMs), caller, body,
					permit, response));
	}

	private Mono<Void> serve(ChatExchange exchange, CallerRequest caller, ChatBody body, Admission.Permit permit,
			HttpServerResponse response) {
		AtomicBoolean released = new AtomicBoolean();
		return Mono.defer(() -> (body.isStreamed()) ? respondStreaming(exchange, caller, response)
				: respondNonStreaming(exchange, body, response))
			.doFinally((signal) -> {
				if (released.compareAndSet(false, true)) {
					permit.release(exchange.chatTokens());
				}
			});
	}

	private Mono<Void> respondNonStreaming(ChatExchange exchange, ChatBody body, HttpServerResponse response) {
		if (!body.isAssemblableFromStream()) {
			return exchange.nonStreaming().flatMap((backendResponse) -> relay(backendResponse, exchange, response));
		}
		return exchange.parts()
			.then(Mono.fromSupplier(exchange::assembled))
			.onErrorMap(BackendFailure.class, this::mapTooLarge)
			.flatMap((json) -> {
				addChatHint(exchange, response);
				return response.status(OK)
					.header(HttpHeaderNames.CONTENT_TYPE, JSON)
					.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(json.length))
					.sendObject(Unpooled.wrappedBuffer(json))
					.then();
			})
			.onErrorResume(BackendFailure.class, (failure) -> relay(failure.response(), exchange, response));
	}

	private Throwable mapTooLarge(BackendFailure failure) {
		return (failure.kind() != BackendFailure.Kind.TOO_LARGE) ? failure
				: FescueholdException.of(ErrorCode.SERVER_FAILED, RunStatus.YES, 0, "any", failure.getMessage());
	}

	private Mono<Void> respondStreaming(ChatExchange exchange, CallerRequest caller, HttpServerResponse response) {
		Flux<Void> written = exchange.parts()
			.switchOnFirst(
					(first, parts) -> (first.hasValue() && first.get().getFirst() instanceof StreamPart.Head head)
							? writeStream(head, parts.skip(1), exchange, caller, response) : parts.then());
		return written.then()
			.onErrorResume(BackendFailure.class, (failure) -> relay(failure.response(), exchange, response));
	}

	private Mono<Void> writeStream(StreamPart.Head head, Flux<List<StreamPart>> parts, ChatExchange exchange,
			CallerRequest caller, HttpServerResponse response) {
		if (head.streamId() != null) {
			response.header("Fescuehold-Stream",
					new StreamRef(exchange.serverId(), head.streamId(), this.context.ports().hostId()).format());
		}
		addChatHint(exchange, response);
		Flux<ByteBuf> frames = parts.map((group) -> this.encoder.encode(group, exchange))
			.onErrorResume((error) -> (error instanceof CancellationException) ? Mono.empty()
					: Mono.just(this.encoder.encode(refusal(caller, error))));
		return response.status(OK).sse().send(this.encoder.withHeartbeats(frames), (frame) -> true).then();
	}

	private FescueholdException refusal(CallerRequest caller, Throwable error) {
		FescueholdException refusal = switch (error) {
			case FescueholdException known -> known;
			case BackendFailure failure ->
				FescueholdException.of(ErrorCode.SERVER_FAILED, RunStatus.UNKNOWN, 0, "any", failure.getMessage());
			default -> {
				this.context.log().internalError(caller, error);
				yield FescueholdException.of(ErrorCode.SERVER_FAILED, RunStatus.UNKNOWN, 0, "router",
						"an internal error");
			}
		};
		this.context.metrics().countRefusal(refusal.code());
		this.context.log().refused(caller, refusal);
		return refusal;
	}

	private Mono<Void> relay(BackendResponse backendResponse, ChatExchange exchange, HttpServerResponse response) {
		if (backendResponse.status() == OK) {
			addChatHint(exchange, response);
		}
		return response.status(backendResponse.status())
			.header(HttpHeaderNames.CONTENT_TYPE, backendResponse.headers().getOrDefault("content-type", JSON))
			.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(backendResponse.body().length))
			.sendObject(Unpooled.wrappedBuffer(backendResponse.body()))
			.then();
	}

	private void addChatHint(ChatExchange exchange, HttpServerResponse response) {
		ChatHint hint = new ChatHint(exchange.serverId(), exchange.chatTokens(), this.context.nowMs());
		response.header("Fescuehold-Chat-Hint", hint.format());
	}

}
