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
 * Reads request bodies and enforces a size limit and a time-out.
 */
public final class BodyReader {

	private final int maxBytes;

	private final int timeoutMs;

	private final Scheduler scheduler;

	/**
	 * Creates a reader.
	 * @param maxBytes the maximum size of a body in bytes
	 * @param timeoutMs the maximum time in milliseconds until a body is complete
	 * @param scheduler the scheduler of the time-out
	 */
	public BodyReader(int maxBytes, int timeoutMs, Scheduler scheduler) {
		this.maxBytes = maxBytes;
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
		long contentLength = contentLength(request);
		if (contentLength > this.maxBytes) {
			return Mono.error(new FescueholdException(ErrorCode.BODY_TOO_LARGE, contentLength, this.maxBytes));
		}
		return request.receive()
			.reduceWith(ByteArrayOutputStream::new, (bytes, chunk) -> append(bytes, chunk, this.maxBytes))
			.map(ByteArrayOutputStream::toByteArray)
			.timeout(Duration.ofMillis(this.timeoutMs),
					Mono.error(() -> new FescueholdException(ErrorCode.BAD_REQUEST, "The body",
							"it did not arrive within " + this.timeoutMs + " ms",
							"send the whole body within this time")),
					this.scheduler);
	}

	private static long contentLength(HttpServerRequest request) {
		if (!request.requestHeaders().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			return 0;
		}
		try {
			return Long.parseLong(request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH).strip());
		}
		catch (NumberFormatException ex) {
			throw new FescueholdException(ErrorCode.BAD_REQUEST, "Header Content-Length", "it is not a number",
					"send the size of the body in bytes");
		}
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream bytes, ByteBuf chunk, int maxBytes) {
		int size = bytes.size() + chunk.readableBytes();
		if (size > maxBytes) {
			throw new FescueholdException(ErrorCode.BODY_TOO_LARGE, "at least " + size, maxBytes);
		}
		byte[] part = new byte[chunk.readableBytes()];
		chunk.readBytes(part);
		bytes.writeBytes(part);
		return bytes;
	}

}
