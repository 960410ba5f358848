package io.fescuehold.runtime.http;

import java.io.ByteArrayOutputStream;
import java.time.Duration;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies within limits of size and time.
 */
final class BodyReader {

	private final RouterContext context;

	BodyReader(RouterContext context) {
		this.context = context;
	}

	/**
	 * Reads the whole body.
	 * @param request the request
	 * @return the body, possibly empty, or a {@link FescueholdException} with code
	 * BODY_TOO_LARGE or BAD_REQUEST
	 */
	Mono<byte[]> read(HttpServerRequest request) {
		int limit = this.context.options().maxBodyBytes();
		long announced = announced(request);
		if (announced > limit) {
			return Mono.error(new FescueholdException(ErrorCode.BODY_TOO_LARGE, announced, limit));
		}
		int timeoutMs = this.context.options().requestReadTimeoutMs();
		return request.receive()
			.reduceWith(ByteArrayOutputStream::new, (bytes, chunk) -> append(bytes, chunk, limit))
			.map(ByteArrayOutputStream::toByteArray)
			.timeout(Duration.ofMillis(timeoutMs),
					Mono.error(() -> new FescueholdException(ErrorCode.BAD_REQUEST, "The body",
							"it did not arrive within " + timeoutMs + " ms", "send it faster")),
					this.context.scheduler());
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
