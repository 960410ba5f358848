package io.fescuehold.client;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Router that plays one scripted response per request and records the requests.
 */
final class ScriptedRouter implements AutoCloseable {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Queue<Script> scripts = new ConcurrentLinkedQueue<>();

	private final List<Received> received = new CopyOnWriteArrayList<>();

	private final List<ScriptedRouter> routers = new CopyOnWriteArrayList<>();

	private final DisposableServer server = HttpServer.create()
		.host("127.0.0.1")
		.port(0)
		.handle(this::handle)
		.bindNow();

	private volatile int validForMs = 30_000;

	private volatile int entryRequests;

	/**
	 * Sets the routers that this one returns when it is queried as an entry host.
	 * @param routers the routers
	 * @return this router
	 */
	ScriptedRouter withRouters(ScriptedRouter... routers) {
		this.routers.clear();
		this.routers.addAll(List.of(routers));
		return this;
	}

	ScriptedRouter validForMs(int newValidForMs) {
		this.validForMs = newValidForMs;
		return this;
	}

	ScriptedRouter then(Script script) {
		this.scripts.add(script);
		return this;
	}

	String address() {
		return "127.0.0.1:" + this.server.port();
	}

	List<Received> received() {
		return this.received;
	}

	int entryRequests() {
		return this.entryRequests;
	}

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		if (request.uri().startsWith("/fescuehold/v1/entry")) {
			this.entryRequests++;
			ObjectNode entry = MAPPER.createObjectNode().put("validForMs", this.validForMs);
			this.routers.forEach((router) -> entry.withArray("addresses").add(router.address()));
			return response.sendString(Mono.just(entry.toString()));
		}
		return request.receive().aggregate().asString().defaultIfEmpty("").flatMap((body) -> {
			this.received.add(new Received(request.uri(), request.requestHeaders().copy(), body));
			Script script = this.scripts.poll();
			return (script != null) ? Mono.from(script.answer(response))
					: response.status(500).sendString(Mono.just("no script is left")).then();
		});
	}

	@Override
	public void close() {
		this.server.disposeNow();
	}

	/**
	 * Makes one call with long time limits, so that the classes of a call are loaded
	 * before a test measures a stall.
	 */
	static void warmUp() {
		try (ScriptedRouter router = new ScriptedRouter().then(answer("{}"));
				FescueholdClient client = FescueholdClient.builder()
					.entry(router.withRouters(router).address())
					.team("team-1")
					.answerLimitMs(30_000)
					.serviceTimeoutMs(30_000)
					.build()) {
			client.call(ServiceRequest.post("depot", "/orders", "{}".getBytes(), "key-0")).block();
		}
	}

	/** Sends events with the given positions and the token texts {@code t<position> }. */
	static Script tokens(String stream, int... positions) {
		return (response) -> sse(response, stream, events(positions));
	}

	/** Sends events and the comment that another stream replaced this one. */
	static Script moved(String stream, String newStream, int... positions) {
		return (response) -> sse(response, stream, events(positions) + ": fescuehold-stream " + newStream + "\n\n");
	}

	/** Sends events, the final chunk and the end marker. */
	static Script complete(String stream, int... positions) {
		return (response) -> sse(response, stream, events(positions) + FINAL);
	}

	/** Sends events and then nothing, while the connection stays open. */
	static Script stall(String stream, int... positions) {
		return (response) -> head(response, stream).send(Flux.concat(Mono.just(bytes(events(positions))), Mono.never()),
				(buffer) -> true);
	}

	/** Sends events and resets the connection. */
	static Script cut(String stream, int... positions) {
		return (response) -> head(response, stream)
			.send(Flux.concat(Mono.just(bytes(events(positions))), Mono.defer(() -> {
				response.withConnection((connection) -> {
					connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
					connection.channel().close();
				});
				return Mono.never();
			})), (buffer) -> true);
	}

	static Script problem(int status, String code, String run, String retryAfter) {
		return (response) -> {
			ObjectNode body = MAPPER.createObjectNode().put("code", code).put("run", run).put("remedy", "wait");
			if (retryAfter != null) {
				response.header("Retry-After", retryAfter);
			}
			return response.status(status)
				.header("Content-Type", "application/problem+json")
				.sendString(Mono.just(body.toString()));
		};
	}

	/** Sends a problem document that the service behind the router has written. */
	static Script problemOfService(int status, String run) {
		return (response) -> problem(status, "DEPOT_FULL", run, "0.1")
			.answer(response.header("Fescuehold-Response-Source", "service"));
	}

	static Script answer(String body) {
		return (response) -> response.header("Content-Type", "application/json").sendString(Mono.just(body));
	}

	/** Closes the connection without a response after the request was read. */
	static Script drop() {
		return (response) -> {
			response.withConnection((connection) -> connection.channel().close());
			return Mono.never();
		};
	}

	/** Never sends a response. */
	static Script silent() {
		return (response) -> Mono.never();
	}

	static String text(int from, int to) {
		StringBuilder text = new StringBuilder();
		for (int position = from; position <= to; position++) {
			text.append('t').append(position).append(' ');
		}
		return text.toString();
	}

	private static final String FINAL = "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":"
			+ "{\"prompt_tokens\":7,\"completion_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\n\n"
			+ "data: [DONE]\n\n";

	private static String events(int... positions) {
		StringBuilder events = new StringBuilder(": ping\n\n");
		for (int position : positions) {
			events.append("id: ").append(position).append("\ndata: {\"choices\":[{\"delta\":{\"content\":\"t");
			events.append(position).append(" \"}}]}\n\n");
		}
		return events.toString();
	}

	private static io.netty.buffer.ByteBuf bytes(String text) {
		return io.netty.buffer.Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
	}

	private static HttpServerResponse head(HttpServerResponse response, String stream) {
		return response.header("Content-Type", "text/event-stream")
			.header("Fescuehold-Stream", stream)
			.header("Fescuehold-Chat-Hint", "server-1;10;20");
	}

	private static Publisher<Void> sse(HttpServerResponse response, String stream, String text) {
		return head(response, stream).sendString(Mono.just(text));
	}

	/**
	 * Writes a response.
	 */
	interface Script {

		Publisher<Void> answer(HttpServerResponse response);

	}

	/**
	 * A request that was received.
	 *
	 * @param uri the URI
	 * @param headers the headers
	 * @param body the body
	 */
	record Received(String uri, HttpHeaders headers, String body) {

		String header(String name) {
			return this.headers.get(name);
		}

	}

}
