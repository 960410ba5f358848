package io.fescuehold.standin.modelserver;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.fescuehold.standin.http.ChannelReset;
import io.fescuehold.standin.http.JsonHttp;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Writes the tokens of a generation as server-sent events, with the active faults.
 */
final class SseWriter {

	private static final Duration PING_INTERVAL = Duration.ofMillis(250);

	private final Supplier<ModelFaults> faults;

	SseWriter(Supplier<ModelFaults> faults) {
		this.faults = faults;
	}

	/**
	 * Writes a stream until it ends or the connection is lost.
	 * @param response the response
	 * @param id the stream's id
	 * @param generation the stream's request
	 * @param from the last position that the reader has received, 0 for none
	 * @return completes when the response has ended
	 */
	Mono<Void> write(HttpServerResponse response, String id, Generation generation, int from) {
		Connection connection = new Connection(response);
		Flux<String> tokens = generation.positions()
			.skip(from)
			.concatMap((position) -> connection.applyFaults(position, tokenEvent(id, generation, position)))
			.concatWith(Flux.defer(() -> Flux.concat(connection.flush(), Mono.just(lastEvents(id, generation)))))
			.filter((event) -> connection.maySend());
		AtomicLong lastEventNanos = new AtomicLong();
		Flux<String> shared = tokens.doOnNext((event) -> lastEventNanos.set(System.nanoTime())).publish().refCount(2);
		Flux<String> pings = Flux.interval(PING_INTERVAL)
			.onBackpressureDrop()
			.filter((tick) -> System.nanoTime() - lastEventNanos.get() >= PING_INTERVAL.toNanos()
					&& connection.maySend())
			.map((tick) -> ": ping\n\n")
			.takeUntilOther(shared.ignoreElements());
		Flux<ByteBuf> bytes = Flux.merge(shared, pings)
			.concatWith(Mono.defer(connection::end))
			.map((event) -> Unpooled.wrappedBuffer(event.getBytes(StandardCharsets.UTF_8)));
		response.header("Content-Type", "text/event-stream").header("X-Stream-Id", id);
		return response.send(bytes, (buffer) -> true).then();
	}

	private static String tokenEvent(String id, Generation generation, int position) {
		String text = generation.text().token(position);
		return "id: " + position + "\ndata: " + chunk(id, generation, Map.of("content", text), null) + "\n\n";
	}

	private static String lastEvents(String id, Generation generation) {
		return "data: " + chunk(id, generation, Map.of(), generation.finishReason()) + "\n\ndata: [DONE]\n\n";
	}

	private static String chunk(String id, Generation generation, Map<String, String> delta, String finishReason) {
		Map<String, Object> choice = new LinkedHashMap<>();
		choice.put("index", 0);
		choice.put("delta", delta);
		choice.put("finish_reason", finishReason);
		Map<String, Object> chunk = new LinkedHashMap<>();
		chunk.put("id", id);
		chunk.put("object", "chat.completion.chunk");
		chunk.put("model", generation.body().model());
		chunk.put("choices", List.of(choice));
		if (finishReason != null) {
			chunk.put("usage", Usage.of(generation));
		}
		return new String(JsonHttp.print(chunk), StandardCharsets.UTF_8);
	}

	/**
	 * Applies the faults to one connection: silence, reset, duplicated and reordered
	 * events.
	 */
	private final class Connection {

		private final HttpServerResponse response;

		private String delayedEvent;

		private int sent;

		private boolean silent;

		Connection(HttpServerResponse response) {
			this.response = response;
		}

		synchronized boolean maySend() {
			this.silent |= SseWriter.this.faults.get().stallStreams();
			return !this.silent;
		}

		synchronized Flux<String> applyFaults(int position, String event) {
			ModelFaults current = SseWriter.this.faults.get();
			this.sent++;
			if (current.resetAfterTokens() > 0 && this.sent > current.resetAfterTokens()) {
				return Flux.from(reset());
			}
			this.silent |= current.stallAfterTokens() > 0 && this.sent > current.stallAfterTokens();
			if (this.delayedEvent != null) {
				String first = this.delayedEvent;
				this.delayedEvent = null;
				return Flux.just(event, first);
			}
			if (isEveryNth(position, current.reorderEvery())) {
				this.delayedEvent = event;
				return Flux.empty();
			}
			return (isEveryNth(position, current.duplicateEvery())) ? Flux.just(event, event) : Flux.just(event);
		}

		private boolean isEveryNth(int position, int n) {
			return n > 0 && position % n == 0;
		}

		synchronized Mono<String> flush() {
			String last = this.delayedEvent;
			this.delayedEvent = null;
			return Mono.justOrEmpty(last);
		}

		private Mono<String> reset() {
			return Mono
				.<String>fromRunnable(
						() -> this.response.withConnection((connection) -> ChannelReset.reset(connection.channel())))
				.then(Mono.never());
		}

		Mono<String> end() {
			return (maySend()) ? Mono.empty() : Mono.never();
		}

	}

}
