package io.fescuehold.runtime.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import io.fescuehold.core.drain.DrainSchedule;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.port.ServerReach;
import io.fescuehold.core.port.StateDump;
import io.fescuehold.core.port.StreamVersions;
import io.fescuehold.core.routes.GateDecision;
import io.fescuehold.core.routes.RequestGate;
import io.fescuehold.core.routes.Route;
import io.fescuehold.core.routes.RoutingConfig;
import io.fescuehold.core.routes.TeamAccess;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.runtime.backend.BackendPools;
import io.fescuehold.runtime.backend.BackendResponse;
import io.fescuehold.runtime.http.BodyReader;
import io.fescuehold.runtime.http.ByteBudget;
import io.fescuehold.runtime.http.ConnectionAccount;
import io.fescuehold.runtime.http.ConnectionReport;
import io.fescuehold.runtime.http.HttpListeners;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.channel.AbortedException;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * HTTP server of the gateway: admits requests, forwards them to backend servers and
 * returns the responses to the callers.
 */
public final class GatewayServer implements StateDump {

	/** The body of a refused request that is read to keep the connection. */
	private static final int REFUSED_BODY_BYTES = 64 << 10;

	private static final byte[] EMPTY_BODY = {};

	/** Time reserved for the response to reach the caller before the caller times out. */
	private static final long RESPONSE_DELIVERY_MS = 10;

	private static final long DRAINING_RETRY_AFTER_MS = 200;

	private final GatewayOptions options;

	private final GatewayBelief belief;

	private final CallerProtocol protocol;

	private final Scheduler scheduler;

	private final LongSupplier clockMs;

	private final RequestGate gate;

	private final BackendPools pools;

	private final GatewayMetrics metrics;

	private final GatewayLog log;

	private final Dispatcher dispatcher;

	/** The bytes that this host holds for all requests. */
	private final ByteBudget memory;

	private final StreamVersions versions;

	private final HttpListeners listeners;

	private final GatewayPorts ports;

	private DisposableServer server;

	private DisposableServer relayServer;

	private int inFlight;

	/** What ends each open request when this host stops. */
	private final Set<Runnable> open = new HashSet<>();

	private boolean refusing;

	/** Null unless this host is about to stop. */
	private DrainSchedule drain;

	/**
	 * Creates a server that does not listen yet.
	 * @param options the options
	 * @param belief the local view of configuration, servers and daemons
	 * @param protocol the mapping of HTTP headers
	 * @param versions knows which software version began each stream
	 * @param reach tells servers that are gone from those that only this host cannot
	 * reach
	 * @param scheduler the single thread that owns all state; its clock includes the time
	 * for which the host was suspended
	 * @param loops the event loops of the connections, one of which is the scheduler's
	 * @param registry the registry of the metrics
	 * @param random the source of random choices
	 */
	public GatewayServer(GatewayOptions options, GatewayBelief belief, CallerProtocol protocol, StreamVersions versions,
			ServerReach reach, Scheduler scheduler, LoopResources loops, MetricRegistry registry,
			RandomGenerator random) {
		this.options = options;
		this.belief = belief;
		this.protocol = protocol;
		this.versions = versions;
		this.scheduler = scheduler;
		this.clockMs = () -> scheduler.now(TimeUnit.MILLISECONDS);
		this.gate = new RequestGate(options.keyAgeMs(), options.absenceAgeMs());
		this.pools = new BackendPools(options.backend(), loops);
		this.metrics = new GatewayMetrics(registry);
		this.memory = new ByteBudget(options.memoryBytes());
		this.listeners = new HttpListeners("gateway", registry);
		this.ports = new GatewayPorts(options, belief, this.listeners, this.memory, loops);
		this.log = new GatewayLog(belief, this.clockMs);
		this.dispatcher = new Dispatcher(options, belief, protocol, this.pools, this.clockMs,
				new QuarantineGuard(belief, scheduler, loops, reach, this.log, this.metrics), reach, this.metrics,
				this.log,
				new AdmissionLine(options.policy().holdsFloods(), belief, reach, scheduler, this.metrics, this.log),
				random);
	}

	/**
	 * Binds the port and starts to accept connections.
	 */
	public void start() {
		this.server = this.ports.bindCallers((http, response) -> handle(http, response, null));
		this.relayServer = this.ports
			.bindRelays((http, response) -> handle(http, response, RelayHop.read(http.requestHeaders())));
	}

	/**
	 * Returns the port.
	 * @return the port that the server listens on
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the port for requests that other hosts pass on.
	 * @return the port that the server listens on
	 */
	public int relayPort() {
		return this.relayServer.port();
	}

	/**
	 * Closes each connection after its next response, so that callers connect to another
	 * daemon.
	 */
	public void closeConnections() {
		this.listeners.closeAfterResponses();
	}

	/**
	 * Begins a planned stop: closes connections as {@link #closeConnections()} does, and
	 * refuses requests that are not certain to end in time with code DRAINING.
	 * @param schedule the times of the stop
	 */
	public void drain(DrainSchedule schedule) {
		this.drain = schedule;
		closeConnections();
	}

	/**
	 * Ends the open requests. Callers get an answer that says whether the request may
	 * have run, also to a request whose body has not arrived completely; a stream breaks
	 * off after its last event, so that it can be taken up at another host.
	 */
	public void endRequests() {
		refuseRequests();
		List.copyOf(this.open).forEach(Runnable::run);
	}

	/**
	 * Refuses new requests with code DRAINING, and closes each connection after its next
	 * response.
	 */
	public void refuseRequests() {
		closeConnections();
		this.refusing = true;
	}

	/**
	 * Refuses new requests, stops listening and closes each connection that has no
	 * request.
	 */
	public void drainConnections() {
		refuseRequests();
		this.listeners.drain();
	}

	/**
	 * Returns whether all connections of callers and other hosts have ended after
	 * {@link #drainConnections()}.
	 * @return whether this server may be stopped without a loss
	 */
	public boolean isDrained() {
		return this.inFlight == 0 && this.listeners.isDrained();
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns the state of the connections of callers and other hosts.
	 * @return the report
	 */
	public ConnectionReport connections() {
		return this.listeners.report();
	}

	/**
	 * Returns the bytes that this host may hold for all requests.
	 * @return the budget
	 */
	public ByteBudget memory() {
		return this.memory;
	}

	/**
	 * Closes the connection pools of servers that are no longer in the server list, and
	 * forgets the times of services that are no longer configured.
	 */
	public void closeUnusedPools() {
		this.dispatcher.hedging().retainConfigured();
		this.pools.retain(this.belief.servers()
			.all()
			.stream()
			.map((state) -> state.server().address())
			.collect(Collectors.toCollection(() -> new HashSet<>(this.dispatcher.relays().addresses()))));
	}

	/**
	 * Closes connections whose callers stall, if the memory for requests becomes scarce.
	 */
	public void closeStalled() {
		this.ports.closeStalled();
	}

	/**
	 * Stops listening and closes all connections.
	 */
	public void stop() {
		this.listeners.closeNow();
		this.pools.close();
	}

	private Publisher<Void> handle(HttpServerRequest http, HttpServerResponse response, RelayHop hop) {
		long receivedAtMs = this.clockMs.getAsLong();
		this.inFlight++;
		CallerHead head;
		try {
			ConnectionAccount.check(http.requestHeaders(), this.memory);
			CallerHead received = this.protocol.read(http.method().name(), http.uri(), http.requestHeaders());
			head = (hop != null) ? RelayHop.strip(received) : received;
		}
		catch (FescueholdException ex) {
			this.inFlight--;
			this.metrics.refused(ex.code().name());
			response.keepAlive(false);
			return CallerResponses.refuse(response, ex, hop);
		}
		BodyReader bodyReader = new BodyReader(this.belief.limits().maxBodyBytes(), head.bodyTimeoutMs(),
				this.scheduler, this.memory);
		ByteBudget.Lease lease = this.memory.lease();
		return untilEnded(readBody(head, http, response, bodyReader, lease).defaultIfEmpty(EMPTY_BODY))
			.flatMap((body) -> serve(head, body, lease, receivedAtMs, response, hop))
			.onErrorResume((error) -> refuse(head, error, receivedAtMs, response, hop))
			.doOnCancel(() -> {
				this.metrics.callerLeft();
				this.log.callerLeft(head, this.clockMs.getAsLong() - receivedAtMs);
			})
			.doFinally((signal) -> {
				lease.close();
				this.inFlight--;
			});
	}

	// The body of a request that has no route or no valid key is not kept.
	private Mono<byte[]> readBody(CallerHead head, HttpServerRequest http, HttpServerResponse response,
			BodyReader bodyReader, ByteBudget.Lease lease) {
		if (!(decide(head) instanceof GateDecision.Refused(FescueholdException refusal))
				|| refusal.code() != ErrorCode.NO_ROUTE && refusal.code() != ErrorCode.UNKNOWN_KEY) {
			return bodyReader.read(http, lease);
		}
		return BodyReader.discard(http, REFUSED_BODY_BYTES).flatMap((complete) -> {
			if (!complete) {
				response.keepAlive(false);
			}
			return Mono.error(refusal);
		});
	}

	private GateDecision decide(CallerHead head) {
		return this.gate.decide(this.belief.table(), this.belief.ageMs(), head.hostName(), head.path(), head.apiKey());
	}

	private <T> Mono<T> untilEnded(Mono<T> body) {
		Sinks.One<T> end = Sinks.one();
		Runnable stop = () -> end.tryEmitError(draining());
		this.open.add(stop);
		return Mono.firstWithSignal(body, end.asMono()).doFinally((signal) -> this.open.remove(stop));
	}

	private static FescueholdException draining() {
		return FescueholdException.of(ErrorCode.DRAINING, RunStatus.NO, DRAINING_RETRY_AFTER_MS);
	}

	private Mono<Void> serve(CallerHead head, byte[] body, ByteBudget.Lease lease, long receivedAtMs,
			HttpServerResponse response, RelayHop hop) {
		if (this.refusing) {
			return Mono.error(draining());
		}
		return switch (decide(head)) {
			case GateDecision.Refused(FescueholdException refusal) -> Mono.error(refusal);
			case GateDecision.Admitted(Route route, var team) -> {
				this.metrics.request(route.name());
				double fraction = RendezvousHash.unit(RendezvousHash.hash(head.streamId()));
				GatewayRequest request = new GatewayRequest(head, body, route, team, route.serviceFor(fraction),
						receivedAtMs, receivedAtMs + limitMs(head, route), hop, lease);
				yield endsInTime(request) ? forward(request, response) : Mono.error(draining());
			}
		};
	}

	private boolean endsInTime(GatewayRequest request) {
		return this.drain == null || this.drain.endsInTime(request.deadlineAtMs());
	}

	private static long limitMs(CallerHead head, Route route) {
		if (head.deadlineMs() <= 0) {
			return route.timeoutMs();
		}
		return Math.min(route.timeoutMs(), Math.max(1, head.deadlineMs() - RESPONSE_DELIVERY_MS));
	}

	private Mono<Void> forward(GatewayRequest request, HttpServerResponse response) {
		if (request.hop() != null) {
			this.log.passedOn(request);
		}
		if (!request.route().isStreaming()) {
			CallExchange exchange = new CallExchange(this.dispatcher, this.scheduler, this.log, request);
			Runnable stop = exchange::stop;
			this.open.add(stop);
			Mono<BackendResponse> run = Mono.defer(() -> this.dispatcher.admission().measure(request, exchange.run()));
			return untilEnded(this.dispatcher.admission().admit(request)).then(run)
				.doFinally((signal) -> this.open.remove(stop))
				.flatMap((backendResponse) -> {
					CallerResponses.nameServer(request, exchange.serverId(), response);
					return deliver(request, backendResponse, response);
				});
		}
		StreamExchange exchange = new StreamExchange(this.dispatcher, this.scheduler, this.log, this.versions, request);
		Runnable stop = exchange::stop;
		this.open.add(stop);
		return Mono.from(exchange.run()
			.doFinally((signal) -> this.open.remove(stop))
			.switchOnFirst((first, items) -> deliverStream(request, exchange, first.get(), items, response)));
	}

	private Mono<Void> deliver(GatewayRequest request, BackendResponse backendResponse, HttpServerResponse response) {
		answered(request, backendResponse.status());
		response.status(backendResponse.status());
		CallerResponses.addHeaders(response, backendResponse.headers());
		response.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(backendResponse.body().length));
		return response.sendObject(Unpooled.wrappedBuffer(backendResponse.body())).then();
	}

	private Publisher<Void> deliverStream(GatewayRequest request, StreamExchange exchange, StreamItem first,
			Flux<StreamItem> items, HttpServerResponse response) {
		return switch (first) {
			case StreamItem.Complete complete -> {
				CallerResponses.nameServer(request, exchange.serverId(), response);
				yield items.then(deliver(request, complete.response(), response));
			}
			case StreamItem.Head head -> {
				this.metrics.firstEvent(request.route().name(), this.clockMs.getAsLong() - request.receivedAtMs());
				response.status(head.status());
				CallerResponses.addHeaders(response, head.headers());
				CallerResponses.nameServer(request, exchange.serverId(), response);
				if (request.hop() != null && exchange.version() != null) {
					response.header(RelayHop.RESPONSE_VERSION, exchange.version());
				}
				Flux<ByteBuf> events = items.ofType(StreamItem.Event.class)
					.map((event) -> Unpooled.wrappedBuffer(event.bytes()))
					.cast(ByteBuf.class)
					.doOnComplete(() -> answered(request, head.status()))
					.doOnError((error) -> {
						this.metrics.brokenOff();
						this.log.brokenOff(request, exchange.position(), error,
								this.clockMs.getAsLong() - request.receivedAtMs());
					});
				yield response.send(events, (buffer) -> true).then();
			}
			case StreamItem.Event _, StreamItem.Judged _ ->
				items.then(Mono.error(new IllegalStateException("The stream began without a head: " + first)));
			// Without an error Reactor Netty would send an empty successful response.
			case null -> items.then(Mono.error(new IllegalStateException("The stream ended without a head")));
		};
	}

	private void answered(GatewayRequest request, int status) {
		long tookMs = this.clockMs.getAsLong() - request.receivedAtMs();
		this.metrics.answered(request.route().name(), status, tookMs);
		this.log.answered(request, status, tookMs);
	}

	private Mono<Void> refuse(CallerHead head, Throwable error, long receivedAtMs, HttpServerResponse response,
			RelayHop hop) {
		if (error instanceof AbortedException || AbortedException.isConnectionReset(error)) {
			this.metrics.callerLeft();
			this.log.callerLeft(head, this.clockMs.getAsLong() - receivedAtMs);
			return Mono.empty();
		}
		if (response.hasSentHeaders()) {
			// The error closes the connection, so that the caller can tell that the
			// response is truncated.
			return Mono.error(error);
		}
		if (!(error instanceof FescueholdException refusal)) {
			this.log.failed(head, error);
			return Mono.error(error);
		}
		this.metrics.refused(refusal.code().name());
		this.log.refused(head, refusal, this.clockMs.getAsLong() - receivedAtMs);
		boolean closesConnection = refusal.code() == ErrorCode.BODY_TOO_LARGE || refusal.code() == ErrorCode.BAD_REQUEST
				|| refusal.code() == ErrorCode.HOST_MEMORY_FULL;
		if (closesConnection) {
			response.keepAlive(false);
		}
		return CallerResponses.refuse(response, refusal, hop);
	}

	@Override
	public String dumpName() {
		return "gateway";
	}

	private Map<String, Object> dump(ServerState state) {
		long nowMs = this.clockMs.getAsLong();
		return Map.of("speed", this.dispatcher.placement().dump(state, nowMs), "server", state.server(), "load",
				state.load(), "own", state.ownRequests(), "failureRate", state.health().failureRate(nowMs), "usable",
				state.health().isUsable(nowMs), "resting", this.belief.intake().isResting(state.server().id(), nowMs),
				"leavingMs", this.belief.intake().leavingMs(state, nowMs));
	}

	@Override
	public Object dump() {
		Map<String, Object> dump = new TreeMap<>();
		dump.put("configuration", this.belief.number());
		dump.put("configurationAgeMs", this.belief.ageMs());
		dump.put("inFlight", this.inFlight);
		dump.put("heldBytes", this.memory.heldBytes());
		dump.put("pools", this.pools.size());
		dump.put("relays", this.dispatcher.relays().addresses());
		Map<String, Object> servers = new TreeMap<>();
		this.belief.servers().all().forEach((state) -> servers.put(state.server().id(), dump(state)));
		dump.put("servers", servers);
		dump.put("dispatch", this.dispatcher.dump());
		dump.put("quarantine", this.belief.quarantine().attributions());
		if (this.belief.table() != null) {
			RoutingConfig config = this.belief.table().config();
			dump.put("routes", config.routes());
			dump.put("services", config.services());
			dump.put("teams", config.teams().stream().map(TeamAccess::name).toList());
		}
		return dump;
	}

}
