package io.fescuehold.runtime.http;

import java.io.File;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.view.FleetView;
import io.fescuehold.runtime.backend.BackendFailure;
import io.fescuehold.runtime.backend.BackendPools;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.Http11SslContextSpec;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The HTTP server of a router, which handles the requests of callers.
 */
public final class RouterServer implements StateDump {

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String JSON = "application/json";

	private static final String CHAT_PATH = "/v1/chat/completions";

	private static final String ENTRY_PATH = "/fescuehold/v1/entry";

	private static final String HEALTH_PATH = "/healthz";

	private static final String SERVICES_PATH = "/services/";

	private static final int OK = 200;

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	private static final int ID_RADIX = 36;

	private static final long DRAINING_RETRY_AFTER_MS = 1_000;

	private static final Duration DRAIN_CHECK = Duration.ofMillis(20);

	private final RouterContext context;

	private final ChatHandler chats;

	private final ServiceHandler services;

	private final InFlightRequests inFlight = new InFlightRequests();

	private final AtomicLong requestNumber = new AtomicLong();

	private final String requestIdPrefix;

	private final HttpListeners listeners;

	private DisposableServer server;

	private Disposable viewSubscription;

	/**
	 * Creates a server without binding its port.
	 * @param options the options
	 * @param ports the interfaces to the rest of the daemon
	 * @param metrics the registry of the metrics
	 * @param scheduler the scheduler of timers
	 * @param clockMs the time in milliseconds since the epoch
	 * @param seed the seed of random choices
	 */
	public RouterServer(RouterOptions options, RouterPorts ports, MetricRegistry metrics, Scheduler scheduler,
			LongSupplier clockMs, long seed) {
		PlacementPolicy placement = new SerialPlacement(ports.placement());
		this.context = new RouterContext(options, ports, placement, new BackendPools(options.backend()),
				new RouterMetrics(metrics), new RequestLog(), new PendingCancels(scheduler), this.inFlight, scheduler,
				clockMs, RandomGeneratorFactory.of("SplittableRandom").create(seed));
		this.listeners = new HttpListeners("router", metrics);
		this.chats = new ChatHandler(this.context);
		this.services = new ServiceHandler(this.context);
		this.requestIdPrefix = ports.hostId() + "-" + Long.toString(clockMs.getAsLong(), ID_RADIX) + "-";
	}

	/**
	 * Binds the port and starts to accept connections.
	 */
	public void start() {
		HttpServer http = this.listeners.newServer()
			.host(this.context.options().address())
			.port(this.context.options().port())
			.childOption(ChannelOption.TCP_NODELAY, true)
			.httpRequestDecoder((spec) -> spec.maxInitialLineLength(MAX_REQUEST_LINE_BYTES)
				.maxHeaderSize(this.context.options().maxHeaderBytes()))
			.idleTimeout(Duration.ofMillis(this.context.options().idleTimeoutMs()))
			.doOnChannelInit((observer, channel, address) -> RequestHeadTimer.install(channel.pipeline(),
					this.context.options().requestReadTimeoutMs()))
			.handle(this::handle);
		RouterOptions.Tls tls = this.context.options().tls();
		if (tls != null) {
			http = http.secure((spec) -> spec
				.sslContext(Http11SslContextSpec.forServer(new File(tls.certificateFile()), new File(tls.keyFile()))));
		}
		this.server = this.listeners.bind(http);
		this.viewSubscription = this.context.ports().views().changes().subscribe(this::closeUnusedPools);
	}

	private void closeUnusedPools(FleetView view) {
		Set<String> addresses = new HashSet<>();
		view.modelServers().values().forEach((owned) -> addresses.add(owned.spec().host() + ":" + owned.spec().port()));
		view.services()
			.values()
			.forEach((owned) -> owned.spec()
				.servers()
				.values()
				.forEach((spec) -> addresses.add(spec.host() + ":" + spec.port())));
		this.context.pools().retain(addresses);
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String requestId = this.requestIdPrefix + this.requestNumber.incrementAndGet();
		response.header("Fescuehold-Request-Id", requestId);
		this.context.metrics().countRequest();
		this.inFlight.begin(requestId, request.method() + " " + request.fullPath());
		CallerRequest unparsed = CallerRequest.withIdOnly(requestId);
		return Mono.defer(() -> {
			CallerRequest caller = CallerRequest.of(requestId, request.requestHeaders());
			return route(caller, request, response).onErrorResume((error) -> refuse(caller, error, response));
		})
			.onErrorResume(FescueholdException.class, (refusal) -> refuse(unparsed, refusal, response))
			.doFinally((signal) -> this.inFlight.end(requestId));
	}

	private Mono<Void> route(CallerRequest caller, HttpServerRequest request, HttpServerResponse response) {
		String path = new QueryStringDecoder(request.uri()).rawPath();
		String method = request.method().name();
		if (HEALTH_PATH.equals(path)) {
			return health(response);
		}
		if (ENTRY_PATH.equals(path) && "GET".equals(method)) {
			return entry(request, response);
		}
		boolean chat = CHAT_PATH.equals(path) && "POST".equals(method);
		if (!chat && !path.startsWith(SERVICES_PATH)) {
			return Mono.error(new FescueholdException(ErrorCode.NOT_FOUND, path));
		}
		if (this.inFlight.isDraining()) {
			return Mono.error(FescueholdException.of(ErrorCode.DRAINING, RunStatus.NO, DRAINING_RETRY_AFTER_MS));
		}
		return (chat) ? this.chats.handle(caller, request, response) : this.services.handle(caller, request, response);
	}

	private Mono<Void> health(HttpServerResponse response) {
		return (this.inFlight.isDraining())
				? Mono.error(FescueholdException.of(ErrorCode.DRAINING, RunStatus.NO, DRAINING_RETRY_AFTER_MS))
				: json(response, Map.of("status", "ok"));
	}

	private Mono<Void> entry(HttpServerRequest request, HttpServerResponse response) {
		String chatId = new QueryStringDecoder(request.uri()).parameters()
			.getOrDefault("chat", List.of())
			.stream()
			.findFirst()
			.orElse(null);
		return json(response, this.context.ports().entries().select(chatId));
	}

	private static Mono<Void> json(HttpServerResponse response, Object body) {
		byte[] bytes;
		try {
			bytes = MAPPER.writeValueAsBytes(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The response could not be serialised as JSON", ex);
		}
		return response.status(OK)
			.header(HttpHeaderNames.CONTENT_TYPE, JSON)
			.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(bytes.length))
			.sendObject(Unpooled.wrappedBuffer(bytes))
			.then();
	}

	private Mono<Void> refuse(CallerRequest caller, Throwable error, HttpServerResponse response) {
		if (error instanceof AbortedException || AbortedException.isConnectionReset(error)
				|| error instanceof CancellationException) {
			// ChatExchange keeps or cancels the stream, if there is one.
			this.context.log().callerDisconnected(caller);
			return Mono.empty();
		}
		if (error instanceof BackendFailure && response.hasSentHeaders()) {
			// Signalling the error closes the connection, so that the caller does not
			// take the truncated response for a complete one.
			this.context.log().backendFailed(caller, "any", error, "closing the caller's connection");
			return Mono.error(error);
		}
		if (!(error instanceof FescueholdException refusal)) {
			this.context.log().internalError(caller, error);
			return Mono.error(error);
		}
		this.context.metrics().countRefusal(refusal.code());
		this.context.log().refused(caller, refusal);
		if (response.hasSentHeaders()) {
			return Mono.error(refusal);
		}
		if (refusal.code() == ErrorCode.BODY_TOO_LARGE || refusal.code() == ErrorCode.BAD_REQUEST) {
			// The rest of the body may still arrive and must not be parsed as the next
			// request.
			response.keepAlive(false);
		}
		return Problems.write(response, refusal);
	}

	/**
	 * Keeps a stream that another router has taken over, so that this router does not
	 * cancel it.
	 * @param serverId the id of the model server that holds the stream
	 * @param streamId the id of the stream
	 */
	public void streamTaken(String serverId, String streamId) {
		this.context.pendingCancels().keepStream(serverId, streamId);
	}

	/**
	 * Returns the port.
	 * @return the port that the server listens on
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
	 * Refuses new requests with code DRAINING and waits for those in flight. Then stops
	 * listening and waits until each connection is closed, after the response to what was
	 * read on it. Entry requests are answered until the end.
	 * @return completes once no request is in flight and no connection is open
	 */
	public Mono<Void> drain() {
		closeConnections();
		return this.inFlight.drain().then(Mono.fromRunnable(this.listeners::drain)).then(awaitDrained());
	}

	private Mono<Void> awaitDrained() {
		return Flux.interval(Duration.ZERO, DRAIN_CHECK, this.context.scheduler())
			.onBackpressureDrop()
			.filter((tick) -> this.inFlight.size() == 0 && this.listeners.isDrained())
			.next()
			.then();
	}

	/**
	 * Returns the state of the callers' connections.
	 * @return the state
	 */
	public ConnectionReport connections() {
		return this.listeners.report();
	}

	/**
	 * Stops listening and closes all connections, also those with open requests.
	 */
	public void stop() {
		if (this.viewSubscription != null) {
			this.viewSubscription.dispose();
		}
		this.listeners.closeNow();
		if (this.server != null) {
			this.server.disposeNow();
		}
		this.context.pools().close();
	}

	@Override
	public String dumpName() {
		return "http";
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new TreeMap<>();
		dump.put("requests", this.context.metrics().requestCount());
		dump.put("draining", this.inFlight.isDraining());
		dump.put("inFlight", this.inFlight.size());
		dump.put("inFlightSample", this.inFlight.sample());
		dump.put("pendingCancels", this.context.pendingCancels().size());
		dump.put("backendPools", this.context.pools().size());
		return dump;
	}

}
