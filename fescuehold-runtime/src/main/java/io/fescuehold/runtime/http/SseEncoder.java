package io.fescuehold.runtime.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.runtime.backend.StreamPart;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Encodes a stream to the caller as server-sent events.
 */
final class SseEncoder {

	private static final String HEARTBEAT = ": heartbeat\n\n";

	private final RouterContext context;

	SseEncoder(RouterContext context) {
		this.context = context;
	}

	/**
	 * Encodes a group of parts into one buffer.
	 * @param group the parts
	 * @param exchange the exchange that the parts belong to
	 * @return the bytes
	 */
	ByteBuf encode(List<StreamPart> group, ChatExchange exchange) {
		StringBuilder text = new StringBuilder();
		group.forEach((part) -> append(text, part, exchange));
		return buffer(text.toString());
	}

	private void append(StringBuilder text, StreamPart part, ChatExchange exchange) {
		switch (part) {
			case StreamPart.Head head -> appendStreamChange(text, head, exchange);
			case StreamPart.Comment() -> text.append(HEARTBEAT);
			case StreamPart.Event event -> appendEvent(text, event);
			case StreamPart.Done() -> text.append("data: [DONE]\n\n");
		}
	}

	private void appendStreamChange(StringBuilder text, StreamPart.Head head, ChatExchange exchange) {
		if (head.streamId() == null) {
			text.append(HEARTBEAT);
			return;
		}
		StreamRef stream = new StreamRef(exchange.serverId(), head.streamId(), this.context.ports().hostId());
		text.append(": fescuehold-stream ").append(stream.format()).append("\n\n");
	}

	private static void appendEvent(StringBuilder text, StreamPart.Event event) {
		if (event.position() > 0) {
			text.append("id: ").append(event.position()).append('\n');
		}
		text.append("data: ").append(event.data().replace("\n", "\ndata: ")).append("\n\n");
	}

	/**
	 * Encodes a refusal that occurs after the stream has begun. The stream then ends
	 * without {@code [DONE]}.
	 * @param refusal the refusal
	 * @return the bytes
	 */
	ByteBuf encode(FescueholdException refusal) {
		return buffer("event: error\ndata: " + new String(Problems.json(refusal), StandardCharsets.UTF_8) + "\n\n");
	}

	private static ByteBuf buffer(String text) {
		return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Adds heartbeats to a stream while it is idle.
	 * @param frames the encoded parts
	 * @return the encoded parts, with heartbeat comments between them
	 */
	Flux<ByteBuf> withHeartbeats(Flux<ByteBuf> frames) {
		int heartbeatMs = this.context.options().heartbeatMs();
		AtomicLong sentAtMs = new AtomicLong(this.context.nowMs());
		Sinks.Empty<Void> ended = Sinks.empty();
		Flux<ByteBuf> heartbeats = Flux.interval(Duration.ofMillis(heartbeatMs), this.context.scheduler())
			.onBackpressureDrop()
			.takeUntilOther(ended.asMono())
			.filter((tick) -> this.context.nowMs() - sentAtMs.get() >= heartbeatMs / 2)
			.map((tick) -> buffer(HEARTBEAT));
		Flux<ByteBuf> tracked = frames.doOnNext((frame) -> sentAtMs.set(this.context.nowMs()))
			.doOnTerminate(ended::tryEmitEmpty);
		return Flux.merge(1, tracked, heartbeats);
	}

}
