package io.fescuehold.standin.modelserver;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import io.fescuehold.standin.http.AvailabilityControl;
import io.fescuehold.standin.http.JsonHttp;
import io.fescuehold.standin.http.LoopbackServer;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * A model server on the loopback address. All requests, notably those for administration,
 * are also served at a second port, which stays open while the first one refuses
 * connections.
 */
public final class ModelServer implements AutoCloseable {

	private static final Duration STREAM_RETENTION = Duration.ofSeconds(30);

	private static final String STREAMS_PATH = "/v1/streams/";

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private static final int INTERNAL_SERVER_ERROR = 500;

	private final PrefixCache cache;

	private final CacheEventLog cacheEvents;

	private final BatchEngine engine;

	private final LoadHistory loads;

	private final StreamRegistry streams;

	private final OrderLog orders;

	private final SseWriter writer = new SseWriter(this::faults);

	private final KvTransfer transfer;

	private final AvailabilityControl availability;

	private final LoopbackServer server;

	private final LoopbackServer admin;

	private volatile ModelFaults faults = ModelFaults.NONE;

	private ModelServer(int port, int adminPort, ModelServerOptions options) {
		Clock clock = Clock.systemUTC();
		this.cacheEvents = new CacheEventLog(clock, options.cacheEventLagMs());
		this.cache = new PrefixCache(options.cacheTokens(),
				(chatId, tokens) -> this.cacheEvents.add(chatId, tokens, this.faults.cacheEventGapEvery()));
		this.transfer = new KvTransfer(this.cache);
		this.engine = new BatchEngine(options, this.cache);
		this.loads = new LoadHistory(this.engine, clock, options.loadLagMs());
		this.streams = new StreamRegistry(this.engine, STREAM_RETENTION);
		this.orders = new OrderLog(options.checkFencing());
		this.server = LoopbackServer.bind(port, this::handle);
		this.admin = LoopbackServer.bind(adminPort, this::handle);
		this.availability = new AvailabilityControl(this.server);
	}

	/**
	 * Starts a model server.
	 * @param port the port, or 0 for any free port
	 * @param adminPort the port that is never refused, or 0 for any free port
	 * @param options its capacity and speed
	 * @return the running server
	 */
	public static ModelServer start(int port, int adminPort, ModelServerOptions options) {
		return new ModelServer(port, adminPort, options);
	}

	/**
	 * Starts a model server at any free port.
	 * @param options its capacity and speed
	 * @return the running server
	 */
	public static ModelServer start(ModelServerOptions options) {
		return start(0, 0, options);
	}

	/**
	 * Returns the port of the server.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Returns the port that is never refused.
	 * @return the port
	 */
	public int adminPort() {
		return this.admin.port();
	}

	/**
	 * Returns the current load, without the lag of reports.
	 * @return the load
	 */
	public LoadReport load() {
		return this.engine.load(System.currentTimeMillis());
	}

	/**
	 * Sets the active faults.
	 * @param newFaults the faults, {@link ModelFaults#NONE} to clear all
	 */
	public void faults(ModelFaults newFaults) {
		this.faults = newFaults;
		this.availability.set(newFaults.refuseConnections(), newFaults.flapPeriodMs());
	}

	private ModelFaults faults() {
		return this.faults;
	}

	/**
	 * Resets all open connections.
	 */
	public void resetConnections() {
		this.server.resetConnections();
	}

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String path = JsonHttp.path(request);
		String route = request.method().name() + " " + path;
		return switch (route) {
			case "POST /v1/chat/completions" -> chat(request, response);
			case "GET /load" -> load(response);
			case "GET /cache/events" -> cacheEvents(request, response);
			case "GET /kv/export" -> this.transfer.export(request, response);
			case "POST /kv/pull" -> this.transfer.pull(request, response);
			case "POST /orders" -> order(request, response);
			case "GET /standin/orders" -> JsonHttp.send(response, 200, Map.of("orders", this.orders.orders()));
			case "POST /standin/faults" -> setFaults(request, response);
			default -> (path.startsWith(STREAMS_PATH)) ? stream(request, response, path) : notFound(response, route);
		};
	}

	private static Mono<Void> notFound(HttpServerResponse response, String route) {
		return JsonHttp.sendError(response, NOT_FOUND, "Nothing is served at " + route);
	}

	private Mono<Void> chat(HttpServerRequest request, HttpServerResponse response) {
		ModelFaults current = this.faults;
		if (current.answer500()) {
			return JsonHttp.sendError(response, INTERNAL_SERVER_ERROR, "The fault answer500 is active");
		}
		Mono<Void> answer = JsonHttp.read(request, response, ChatBody.class, (body) -> {
			Generation generation = this.engine.submit(body, request.requestHeaders().get("X-Chat-Id"));
			return (body.stream()) ? newStream(response, generation) : completeResponse(response, generation);
		});
		return (current.delayMs() > 0) ? Mono.delay(Duration.ofMillis(current.delayMs())).then(answer) : answer;
	}

	private Mono<Void> newStream(HttpServerResponse response, Generation generation) {
		return write(response, this.streams.add(generation), generation, 0);
	}

	private Mono<Void> write(HttpServerResponse response, String id, Generation generation, int from) {
		this.streams.attach(id);
		return this.writer.write(response, id, generation, from).doFinally((signal) -> this.streams.detach(id));
	}

	private Mono<Void> completeResponse(HttpServerResponse response, Generation generation) {
		return generation.whenFinished()
			.doOnCancel(() -> this.engine.cancel(generation))
			.then(Mono.defer(() -> JsonHttp.send(response, 200, answer(generation))));
	}

	private static Map<String, Object> answer(Generation generation) {
		Map<String, String> message = Map.of("role", "assistant", "content",
				generation.text().text(generation.generatedTokens()));
		Map<String, Object> choice = Map.of("index", 0, "message", message, "finish_reason", generation.finishReason());
		return Map.of("id", UUID.randomUUID().toString(), "object", "chat.completion", "model",
				generation.body().model(), "choices", List.of(choice), "usage", Usage.of(generation));
	}

	private Mono<Void> stream(HttpServerRequest request, HttpServerResponse response, String path) {
		String id = path.substring(STREAMS_PATH.length());
		if ("DELETE".equals(request.method().name())) {
			return this.streams.cancel(id) ? response.status(204).send() : unknownStream(response, id);
		}
		Generation generation = this.streams.find(id);
		if (generation == null) {
			return unknownStream(response, id);
		}
		int from;
		try {
			from = Integer.parseInt(JsonHttp.query(request, "from", "0"));
		}
		catch (NumberFormatException ex) {
			return JsonHttp.sendError(response, BAD_REQUEST, "from must be a number");
		}
		return write(response, id, generation, from);
	}

	private static Mono<Void> unknownStream(HttpServerResponse response, String id) {
		return JsonHttp.sendError(response, NOT_FOUND, "Stream " + id + " is unknown; send the request again");
	}

	private Mono<Void> load(HttpServerResponse response) {
		if (this.faults.stopLoadReports()) {
			return Mono.never();
		}
		return JsonHttp.send(response, 200, this.loads.report(this.faults.freezeLoadReports()));
	}

	private Mono<Void> cacheEvents(HttpServerRequest request, HttpServerResponse response) {
		try {
			long after = Long.parseLong(JsonHttp.query(request, "after", "0"));
			return JsonHttp.send(response, 200, this.cacheEvents.after(after));
		}
		catch (NumberFormatException ex) {
			return JsonHttp.sendError(response, BAD_REQUEST, "after must be a number");
		}
	}

	private Mono<Void> order(HttpServerRequest request, HttpServerResponse response) {
		String header = request.requestHeaders().get("Fescuehold-Fencing-Number");
		return JsonHttp.read(request, response, OrderBody.class, (body) -> {
			long number;
			try {
				number = Long.parseLong(header);
			}
			catch (NumberFormatException ex) {
				return JsonHttp.sendError(response, BAD_REQUEST, "Fescuehold-Fencing-Number must be a number");
			}
			boolean accepted = this.orders.execute(body.kind(), body.name(), number);
			Map<String, Object> answer = Map.of("accepted", accepted, "highestFencingNumber",
					this.orders.highestFencingNumber());
			return JsonHttp.send(response, (accepted) ? 200 : PRECONDITION_FAILED, answer);
		});
	}

	private Mono<Void> setFaults(HttpServerRequest request, HttpServerResponse response) {
		return JsonHttp.read(request, response, ModelFaults.class,
				(body) -> Mono.fromRunnable(() -> faults(body))
					.subscribeOn(reactor.core.scheduler.Schedulers.boundedElastic())
					.then(JsonHttp.send(response, 200, body)));
	}

	@Override
	public void close() {
		this.availability.close();
		this.server.close();
		this.admin.close();
		this.loads.close();
		this.engine.close();
	}

	/**
	 * The body of an order.
	 *
	 * @param kind loadModel, loadAdapter, loadVersion or changeRole
	 * @param name the name of the model, adapter, version or role
	 */
	record OrderBody(String kind, String name) {

		OrderBody {
			if (kind == null || !List.of("loadModel", "loadAdapter", "loadVersion", "changeRole").contains(kind)) {
				throw new IllegalArgumentException(
						"kind is " + kind + "; use loadModel, loadAdapter, loadVersion or changeRole");
			}
			if (name == null || name.isEmpty()) {
				throw new IllegalArgumentException(
						"name is missing; send the name of the model, adapter, version or role");
			}
		}

	}

}
