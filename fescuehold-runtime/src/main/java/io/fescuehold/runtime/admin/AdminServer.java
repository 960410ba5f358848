package io.fescuehold.runtime.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import io.fescuehold.config.ConfigException;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.runtime.control.ConfigFeed;
import io.fescuehold.runtime.control.SharedStateClient;
import io.fescuehold.runtime.http.ConnectionReport;
import io.fescuehold.runtime.http.HttpListeners;
import io.fescuehold.runtime.orders.OrderDispatcher;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.Http11SslContextSpec;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Serves the administration API. Every daemon serves it; requests that concern a share
 * involve the leader of its group, except stale reads, which are answered from the local
 * configuration.
 */
public final class AdminServer {

	/**
	 * The HTTP server closes a connection whose request is incomplete after this multiple
	 * of the body timeout. It is above 1, so that the body timeout, which sends a
	 * response, expires first.
	 */
	private static final int REQUEST_TIMEOUT_FACTOR = 2;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "/fescuehold/v1/";

	private static final int CLOSE_TIMEOUT_MS = 2_000;

	private static final Duration DRAIN_CHECK = Duration.ofMillis(20);

	private static final int SHARE_SEGMENTS = 2;

	private static final int SHARE_ACTION_SEGMENTS = 3;

	private final AdminOptions options;

	private final AdminOperations operations;

	private final TokenCheck tokens;

	private final ObjectMapper mapper = JsonMapper.builder()
		.enable(SerializationFeature.INDENT_OUTPUT)
		.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
		.build();

	private final OrderOperations orders;

	private final HttpListeners listeners;

	private volatile DisposableServer server;

	/**
	 * Creates a server.
	 * @param options the address, tokens and limits
	 * @param client the client that sends requests to the leaders of the shares
	 * @param feed the feed of the configurations known to this daemon
	 * @param shares returns the names of all shares, for the status
	 * @param dumps returns the components whose state is dumped
	 * @param metrics the metrics of this daemon
	 * @param drain starts to drain this daemon
	 * @param orders the dispatcher of orders to model servers
	 */
	public AdminServer(AdminOptions options, SharedStateClient client, ConfigFeed feed,
			Supplier<Collection<String>> shares, Supplier<Collection<StateDump>> dumps, MetricRegistry metrics,
			Runnable drain, OrderDispatcher orders) {
		this.options = options;
		this.tokens = new TokenCheck(options.tokens());
		this.operations = new AdminOperations(client, feed, shares, dumps, metrics, drain);
		this.orders = new OrderOperations(orders);
		this.listeners = new HttpListeners("operators", metrics);
	}

	/**
	 * Starts to accept requests.
	 * @return completes when the port is bound; errors if it cannot be bound or the
	 * certificate cannot be read
	 */
	public Mono<Void> start() {
		return Mono.fromRunnable(() -> {
			HttpServer http = this.listeners.newServer()
				.host(this.options.address())
				.port(this.options.port())
				.idleTimeout(Duration.ofMillis(this.options.limits().idleMs()))
				.requestTimeout(Duration.ofMillis(REQUEST_TIMEOUT_FACTOR * this.options.limits().bodyMs()))
				.handle(this::handle);
			if (this.options.tls() != null) {
				Http11SslContextSpec certificate = Http11SslContextSpec
					.forServer(this.options.tls().certificateFile().toFile(), this.options.tls().keyFile().toFile());
				http = http.secure((spec) -> spec.sslContext(certificate));
			}
			this.server = this.listeners.bind(http);
		});
	}

	/**
	 * Returns the port on which requests are accepted.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Closes each connection after its next response, so that few are left when the drain
	 * begins.
	 */
	public void closeConnections() {
		this.listeners.closeAfterResponses();
	}

	/**
	 * Stops listening and waits until each connection is closed, after the response to
	 * what was read on it. The limits of the requests bound the wait.
	 * @return completes once no connection is open, or when the longest limit of a
	 * request has passed
	 */
	public Mono<Void> drain() {
		AdminOptions.Limits limits = this.options.limits();
		Duration longest = Duration.ofMillis(Math.max(limits.requestMs(), limits.membershipMs()) + CLOSE_TIMEOUT_MS);
		return Mono.defer(() -> {
			this.listeners.drain();
			return Flux.interval(Duration.ZERO, DRAIN_CHECK)
				.onBackpressureDrop()
				.filter((tick) -> this.listeners.isDrained())
				.next()
				.then();
		}).timeout(longest, Mono.empty());
	}

	/**
	 * Returns the state of the operators' connections.
	 * @return the state
	 */
	public ConnectionReport connections() {
		return this.listeners.report();
	}

	/**
	 * Stops accepting requests and closes all connections, also those with open requests.
	 */
	public void close() {
		this.listeners.closeNow();
		if (this.server != null) {
			this.server.disposeNow(Duration.ofMillis(CLOSE_TIMEOUT_MS));
		}
	}

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		QueryStringDecoder uri = new QueryStringDecoder(request.uri());
		return Mono.defer(() -> process(request, uri))
			.onErrorResume((error) -> Mono.just(problem(request, error)))
			.flatMap((answer) -> send(response, answer));
	}

	private Mono<AdminAnswer> process(HttpServerRequest request, QueryStringDecoder uri) {
		String action = request.method() + " " + uri.path();
		AdminToken token = this.tokens.authenticate(request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION),
				action);
		List<String> segments = uri.path().startsWith(PREFIX)
				? List.of(uri.path().substring(PREFIX.length()).split("/")) : List.of();
		Mono<AdminAnswer> response = route(new Call(request, uri, token, action, segments));
		boolean membershipChange = segments.size() == SHARE_ACTION_SEGMENTS && segments.getLast().equals("replicas");
		AdminOptions.Limits limits = this.options.limits();
		return response.timeout(Duration.ofMillis(membershipChange ? limits.membershipMs() : limits.requestMs()));
	}

	private Mono<AdminAnswer> route(Call call) {
		return switch (String.join(" ", call.method(), call.pattern())) {
			case "POST shares/*/submit" -> call.has("dryRun")
					? readBody(call, AdminToken.Role.VIEWER, (body) -> this.operations.dryRun(call.share(), body))
					: readBody(call, AdminToken.Role.ADMIN,
							(body) -> this.operations.submit(call.share(), body, call.token().name()));
			case "POST shares/*/replicas" ->
				readBody(call, AdminToken.Role.ADMIN, (body) -> this.operations.changeMembership(call.share(), body));
			case "POST shares/*/orders" ->
				readBody(call, AdminToken.Role.ADMIN, (body) -> this.orders.send(call.share(), body));
			case "GET shares/*" -> {
				call.checkAllowed(AdminToken.Role.VIEWER);
				yield call.has("stale") ? this.operations.readStale(call.share()) : this.operations.read(call.share());
			}
			case "GET status" -> {
				call.checkAllowed(AdminToken.Role.VIEWER);
				yield this.operations.status();
			}
			case "GET dump" -> {
				call.checkAllowed(AdminToken.Role.VIEWER);
				yield this.operations.dump().subscribeOn(Schedulers.boundedElastic());
			}
			case "GET metrics" -> {
				call.checkAllowed(AdminToken.Role.VIEWER);
				yield this.operations.metrics();
			}
			case "POST drain" -> {
				call.checkAllowed(AdminToken.Role.ADMIN);
				yield this.operations.drain();
			}
			default -> throw new FescueholdException(ErrorCode.NOT_FOUND, call.action());
		};
	}

	private Mono<AdminAnswer> readBody(Call call, AdminToken.Role role, BodyHandler handler) {
		call.checkAllowed(role);
		int limit = this.options.limits().maxBodyBytes();
		String contentLength = call.request().requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
		if (contentLength != null && contentLength.matches("\\d{1,18}") && Long.parseLong(contentLength) > limit) {
			throw new FescueholdException(ErrorCode.BODY_TOO_LARGE, contentLength, limit);
		}
		return call.request().receive().asByteArray().reduceWith(ByteArrayOutputStream::new, (body, part) -> {
			if (body.size() + part.length > limit) {
				throw new FescueholdException(ErrorCode.BODY_TOO_LARGE, "more than " + limit, limit);
			}
			body.writeBytes(part);
			return body;
		})
			.timeout(Duration.ofMillis(this.options.limits().bodyMs()))
			.flatMap((body) -> handler.handle(body.toByteArray()));
	}

	private static AdminAnswer problem(HttpServerRequest request, Throwable error) {
		return switch (error) {
			case FescueholdException expected -> AdminAnswer.problem(expected);
			case ConfigException invalid -> AdminOperations.invalidConfig(invalid);
			case TimeoutException late -> AdminAnswer
				.problem(outcomeUnknown("the request " + request.method() + " " + request.path() + " timed out"));
			default -> {
				logger.atSevere().withCause(error).log("%s %s failed", request.method(), request.path());
				yield AdminAnswer
					.problem(outcomeUnknown("the request failed with an internal error; see the log of this host"));
			}
		};
	}

	private static FescueholdException outcomeUnknown(String reason) {
		return FescueholdException.withMessage(ErrorCode.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, 0,
				ErrorCode.OUTCOME_UNKNOWN.message(reason));
	}

	private Mono<Void> send(HttpServerResponse response, AdminAnswer answer) {
		response.status(answer.status()).header(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
		answer.headers().forEach(response::header);
		if (answer.status() == ErrorCode.BODY_TOO_LARGE.httpStatus()) {
			// The rest of the body is not read, so the connection cannot be reused.
			response.header(HttpHeaderNames.CONNECTION, "close");
		}
		return response.sendString(Mono.fromCallable(() -> text(answer.body()))).then();
	}

	private String text(Object body) throws IOException {
		return (body instanceof String text) ? text : this.mapper.writeValueAsString(body) + "\n";
	}

	/** Handles a request whose body has been received. */
	@FunctionalInterface
	private interface BodyHandler {

		Mono<AdminAnswer> handle(byte[] body);

	}

	/**
	 * An authenticated request.
	 *
	 * @param request the request
	 * @param uri the path and the query
	 * @param token the token
	 * @param action the method and path, for error messages
	 * @param segments the segments of the path after the prefix
	 */
	private record Call(HttpServerRequest request, QueryStringDecoder uri, AdminToken token, String action,
			List<String> segments) {

		String method() {
			return this.request.method().name();
		}

		String pattern() {
			if (share() == null) {
				return String.join("/", this.segments);
			}
			return (this.segments.size() == SHARE_SEGMENTS) ? "shares/*" : "shares/*/" + this.segments.getLast();
		}

		String share() {
			boolean hasShare = this.segments.size() >= SHARE_SEGMENTS && this.segments.size() <= SHARE_ACTION_SEGMENTS
					&& this.segments.getFirst().equals("shares");
			return hasShare ? this.segments.get(1) : null;
		}

		boolean has(String parameter) {
			return this.uri.parameters().getOrDefault(parameter, List.of()).contains("true");
		}

		void checkAllowed(AdminToken.Role role) {
			TokenCheck.checkAllowed(this.token, share(), role, this.action);
		}

	}

}
