package io.fescuehold.runtime.http;

import java.time.Duration;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads request bodies and enforces a size limit, a time-out and the budget of bytes that
 * the host may hold for all requests. What exceeds the budget is read and discarded.
 */
public final class BodyReader {

	private static final int MAX_DIGITS = 18;

	/** What a part of a body costs in addition to its bytes. */
	private static final int PART_BYTES = 64;

	/** Other hosts may take the request at once. */
	private static final long MEMORY_RETRY_AFTER_MS = 200;

	private final int maxBytes;

	private final int timeoutMs;

	private final Scheduler scheduler;

	private final ByteBudget budget;

	/**
	 * Creates a reader that does not limit what the host holds.
	 * @param maxBytes the maximum size of a body in bytes
	 * @param timeoutMs the maximum time in milliseconds until a body is complete
	 * @param scheduler the scheduler of the time-out
	 */
	public BodyReader(int maxBytes, int timeoutMs, Scheduler scheduler) {
		this(maxBytes, timeoutMs, scheduler, new ByteBudget(Long.MAX_VALUE));
	}

	/**
	 * Creates a reader.
	 * @param maxBytes the maximum size of a body in bytes
	 * @param timeoutMs the maximum time in milliseconds until a body is complete
	 * @param scheduler the scheduler of the time-out
	 * @param budget the bytes that the host may hold
	 */
	public BodyReader(int maxBytes, int timeoutMs, Scheduler scheduler, ByteBudget budget) {
		this.maxBytes = maxBytes;
		this.timeoutMs = timeoutMs;
		this.scheduler = scheduler;
		this.budget = budget;
	}

	/**
	 * Reads the whole body without counting it for longer than it is read.
	 * @param request the request
	 * @return see {@link #read(HttpServerRequest, ByteBudget.Lease)}
	 */
	public Mono<byte[]> read(HttpServerRequest request) {
		return Mono.using(this.budget::lease, (lease) -> read(request, lease), ByteBudget.Lease::close);
	}

	/**
	 * Reads the whole body.
	 * @param request the request
	 * @param lease counts the bytes of the body until it is closed
	 * @return the body, possibly empty, or a {@link FescueholdException} with code
	 * BODY_TOO_LARGE, BAD_REQUEST or HOST_MEMORY_FULL
	 */
	public Mono<byte[]> read(HttpServerRequest request, ByteBudget.Lease lease) {
		long contentLength = contentLength(request);
		if (contentLength > this.maxBytes) {
			return Mono.error(new FescueholdException(ErrorCode.BODY_TOO_LARGE, contentLength, this.maxBytes));
		}
		BodyBuffer buffer = new BodyBuffer(lease);
		if (contentLength > 0) {
			buffer.tryExpect((int) contentLength);
		}
		return request.receive()
			.reduceWith(() -> buffer, this::append)
			.map(this::toBytes)
			.timeout(Duration.ofMillis(this.timeoutMs),
					Mono.error(() -> new FescueholdException(ErrorCode.BAD_REQUEST, "The body",
							"it did not arrive within " + this.timeoutMs + " ms",
							"send the whole body within this time")),
					this.scheduler);
	}

	/**
	 * Reads a body without keeping it.
	 * @param request the request
	 * @param maxBytes the number of bytes, counting a few for each part, after which no
	 * more are read
	 * @return whether the body is complete; never an error because of its size
	 */
	public static Mono<Boolean> discard(HttpServerRequest request, int maxBytes) {
		String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0").strip();
		if (length.length() > MAX_DIGITS || !length.chars().allMatch(Character::isDigit)
				|| !length.isEmpty() && Long.parseLong(length) > maxBytes) {
			return Mono.just(false);
		}
		return request.receive()
			.scan(0, (count, part) -> count + part.readableBytes() + PART_BYTES)
			.any((count) -> count > maxBytes)
			.map((over) -> !over);
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

	private BodyBuffer append(BodyBuffer buffer, ByteBuf chunk) {
		int size = buffer.sizeBytes() + chunk.readableBytes();
		if (size > this.maxBytes) {
			throw new FescueholdException(ErrorCode.BODY_TOO_LARGE, "at least " + size, this.maxBytes);
		}
		// A body that is not kept is still read, because the caller would not receive a
		// refusal over a connection that is closed while the caller sends.
		buffer.tryAppend(chunk);
		return buffer;
	}

	private byte[] toBytes(BodyBuffer buffer) {
		byte[] body = buffer.toBytes();
		if (body == null) {
			throw memoryFull();
		}
		return body;
	}

	private FescueholdException memoryFull() {
		return FescueholdException.of(ErrorCode.HOST_MEMORY_FULL, RunStatus.NO, MEMORY_RETRY_AFTER_MS,
				this.budget.heldBytes(), this.budget.maxBytes());
	}

}
