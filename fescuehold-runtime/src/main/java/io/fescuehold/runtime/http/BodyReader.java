package io.fescuehold.runtime.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies within limits of size and time.
 */
public final class BodyReader {

	private final int limit;

	private final int timeoutMs;

	private final Scheduler scheduler;

	/**
	 * Creates a reader.
	 * @param limit the size of a body in bytes at most
	 * @param timeoutMs the longest time in milliseconds until a body is complete
	 * @param scheduler runs the time-out
	 */
	public BodyReader(int limit, int timeoutMs, Scheduler scheduler) {
		this.limit = limit;
		this.timeoutMs = timeoutMs;
		this.scheduler = scheduler;
	}

	/**
	 * Reads the whole body.
	 * @param request the request
	 * @return the body, possibly empty, or a {@link FescueholdException} with code
	 * BODY_TOO_LARGE or BAD_REQUEST
	 */
	public Mono<byte[]> read(HttpServerRequest request) {
		long announced = announced(request);
		if (announced > this.limit) {
			return Mono.error(new FescueholdException(ErrorCode.BODY_TOO_LARGE, announced, this.limit));
		}
		return request.receive()
			.reduceWith(ByteArrayOutputStream::new, (bytes, chunk) -> append(bytes, chunk, this.limit))
			.map(ByteArrayOutputStream::toByteArray)
			.timeout(
					Duration.ofMillis(this.timeoutMs), Mono.error(() -> new FescueholdException(ErrorCode.BAD_REQUEST,
							"The body", "it did not arrive within " + this.timeoutMs + " ms", "send it faster")),
					this.scheduler);
	}

	private static long announced(HttpServerRequest request) {
		if (!request.requestHeaders().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			return 0;
		}
		try {
			return Long.parseLong(request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH).strip());
		}
		catch (NumberFormatException ex) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "Header Content-Length", "it is no number",
					"send the size of the body");
		}
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream bytes, ByteBuf chunk, int limit) {
		int size = bytes.size() + chunk.readableBytes();
		if (size > limit) {
			throw new FescueholdException(ErrorCode.BODY_TOO_LARGE, "at least " + size, limit);
		}
		byte[] part = new byte[chunk.readableBytes()];
		chunk.readBytes(part);
		bytes.writeBytes(part);
		return bytes;
	}

}
