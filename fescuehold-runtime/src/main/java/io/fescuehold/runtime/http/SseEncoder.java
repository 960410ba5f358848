package io.fescuehold.runtime.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.backend.StreamPart;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Writes a stream to the caller as server-sent events.
 */
final class SseEncoder {

	private static final byte[] HEARTBEAT = ": heartbeat\n\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private final RouterContext context;

	SseEncoder(RouterContext context) {
		this.context = context;
	}

	/**
	 * Encodes a part.
	 * @param part the part
	 * @param exchange the exchange that the part belongs to
	 * @return the bytes
	 */
	ByteBuf encode(StreamPart part, ChatExchange exchange) {
		return switch (part) {
			case StreamPart.Head head -> moved(head, exchange);
			case StreamPart.Comment() -> Unpooled.wrappedBuffer(HEARTBEAT);
			case StreamPart.Event event -> event(event);
			case StreamPart.Done() -> Unpooled.wrappedBuffer(DONE);
		};
	}

	/**
	 * Encodes a refusal after the stream has begun. The stream ends without
	 * {@code [DONE]}.
	 * @param refusal the refusal
	 * @return the bytes
	 */
	ByteBuf encode(FescueholdException refusal) {
		return text("event: error\ndata: " + new String(Problems.json(refusal), StandardCharsets.UTF_8) + "\n\n");
	}

	private ByteBuf moved(StreamPart.Head head, ChatExchange exchange) {
		if (head.streamId() == null) {
			return Unpooled.wrappedBuffer(HEARTBEAT);
		}
		StreamRef stream = new StreamRef(exchange.serverId(), head.streamId(), this.context.ports().hostId());
		return text(": fescuehold-stream " + stream.format() + "\n\n");
	}

	private static ByteBuf event(StreamPart.Event event) {
		String data = event.data().replace("\n", "\ndata: ");
		return text((event.position() > 0) ? "id: " + event.position() + "\ndata: " + data + "\n\n"
				: "data: " + data + "\n\n");
	}

	private static ByteBuf text(String text) {
		return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Adds heartbeats to a stream while it is idle.
	 * @param frames the encoded parts
	 * @return the encoded parts with comments between them
	 */
	Flux<ByteBuf> withHeartbeats(Flux<ByteBuf> frames) {
		int heartbeatMs = this.context.options().heartbeatMs();
		AtomicLong sentAtMs = new AtomicLong(this.context.nowMs());
		Sinks.Empty<Void> ended = Sinks.empty();
		Flux<ByteBuf> heartbeats = Flux.interval(Duration.ofMillis(heartbeatMs), this.context.scheduler())
			.onBackpressureDrop()
			.takeUntilOther(ended.asMono())
			.filter((tick) -> this.context.nowMs() - sentAtMs.get() >= heartbeatMs / 2)
			.map((tick) -> Unpooled.wrappedBuffer(HEARTBEAT));
		Flux<ByteBuf> noted = frames.doOnNext((frame) -> sentAtMs.set(this.context.nowMs()))
			.doOnTerminate(ended::tryEmitEmpty);
		return Flux.merge(1, noted, heartbeats);
	}

}
