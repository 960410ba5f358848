package io.fescuehold.runtime.http;

import java.util.Map;

import io.fescuehold.config.ServiceSpec;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.backend.BackendResponse;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Handles service calls. Non-idempotent calls run at most once, the others may be
 * retried.
 */
final class ServiceHandler {

	/** Indicates that the response has already been written. */
	static final BackendResponse WRITTEN = new BackendResponse(0, Map.of(), new byte[0]);

	/**
	 * The header that tells a service's response from a refusal of the router, which may
	 * have the same status and media type.
	 */
	private static final String SOURCE = "Fescuehold-Response-Source";

	private final RouterContext context;

	private final BodyReader bodyReader;

	private final ServiceServerSelector servers;

	ServiceHandler(RouterContext context) {
		this.context = context;
		this.bodyReader = new BodyReader(context.options().maxBodyBytes(), context.options().requestReadTimeoutMs(),
				context.scheduler());
		this.servers = new ServiceServerSelector(context);
	}

	/**
	 * Handles a call.
	 * @param caller the headers of the call
	 * @param request the request
	 * @param response the response
	 * @return completes once the response is written; refusals are signalled as errors
	 */
	Mono<Void> handle(CallerRequest caller, HttpServerRequest request, HttpServerResponse response) {
		String team = caller.requireTeam();
		FleetView view = this.context.view();
		String share = view.shareOf(team, caller.chatId());
		if (share == null) {
			return Mono.error(new FescueholdException(ErrorCode.UNKNOWN_TEAM, team));
		}
		ServicePath path = ServicePath.of(request.uri());
		String method = request.method().name();
		Map<String, String> headers = ServiceCall.forwardedHeaders(request.requestHeaders());
		return this.bodyReader.read(request).flatMap((body) -> {
			ServiceCall withoutDeadline = new ServiceCall(caller, share, method, path, headers, body, 0);
			ServiceSpec spec = withoutDeadline.spec(view);
			long allowedMs = (caller.deadlineMs() > 0) ? Math.min(caller.deadlineMs(), spec.timeoutMs())
					: spec.timeoutMs();
			ServiceCall call = new ServiceCall(caller, share, method, path, headers, body,
					this.context.nowMs() + allowedMs);
			if (!spec.isNonIdempotent(method, path.path())) {
				return new IdempotentCall(this.context, this.servers, call, response).run();
			}
			if (caller.idempotencyKey() == null) {
				throw new FescueholdException(ErrorCode.KEY_MISSING, method, path.path());
			}
			this.context.ports().retries().requestStarted();
			return new AtMostOnceCall(this.context, this.servers, call, view.teams().get(team).share()).run()
				.flatMap((backendResponse) -> write(response, backendResponse));
		});
	}

	/**
	 * Writes a complete response.
	 * @param response the response to the caller
	 * @param backendResponse the response of the server
	 * @return completes once the response is written
	 */
	static Mono<Void> write(HttpServerResponse response, BackendResponse backendResponse) {
		setHead(response, backendResponse.status(), backendResponse.headers());
		if (backendResponse.body().length == 0) {
			return response.send();
		}
		response.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(backendResponse.body().length));
		return response.sendObject(Unpooled.wrappedBuffer(backendResponse.body())).then();
	}

	/**
	 * Sets status and headers of a service's response.
	 * @param response the response to the caller
	 * @param status the status
	 * @param headers the headers of the server by lower-case name
	 */
	static void setHead(HttpServerResponse response, int status, Map<String, String> headers) {
		response.status(status);
		headers.forEach((name, value) -> {
			if (ServiceCall.isForwarded(name)) {
				response.header(name, value);
			}
		});
		response.header(SOURCE, "service");
	}

}
