package io.fescuehold.runtime.http;

import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.buffer.ByteBuf;
import io.netty.util.ReferenceCountUtil;

/**
 * The bytes that a caller has sent ahead of the responses to its earlier requests. They
 * are held as bytes, because a decoded request takes many times its size. Not
 * thread-safe.
 */
final class ReadAhead {

	/** The complete requests without a response behind which nothing is decoded. */
	static final int MAX_REQUESTS = 4;

	/** The bytes that are decoded before the requests in them are counted. */
	private static final int SLICE_BYTES = 2_048;

	/** The held bytes from which on no more are read. */
	private static final int FULL_BYTES = 64 << 10;

	/** More cannot arrive in a single read. */
	private static final int OVERFULL_BYTES = 256 << 10;

	private final Queue<ByteBuf> parts = new ArrayDeque<>();

	private volatile int sizeBytes;

	/**
	 * Appends bytes.
	 * @param bytes the bytes, which are released by the receiver of {@link #next}
	 */
	void add(ByteBuf bytes) {
		this.parts.add(bytes);
		this.sizeBytes += bytes.readableBytes();
	}

	/**
	 * Takes the next bytes.
	 * @param few whether they may contain many requests
	 * @return the bytes
	 */
	ByteBuf next(boolean few) {
		ByteBuf first = this.parts.element();
		ByteBuf next;
		if (few && first.readableBytes() > SLICE_BYTES) {
			next = first.readRetainedSlice(SLICE_BYTES);
		}
		else {
			next = this.parts.remove();
		}
		this.sizeBytes -= next.readableBytes();
		return next;
	}

	boolean isEmpty() {
		return this.parts.isEmpty();
	}

	boolean isFull() {
		return this.sizeBytes >= FULL_BYTES;
	}

	boolean isOverfull() {
		return this.sizeBytes >= OVERFULL_BYTES;
	}

	/**
	 * Discards all bytes.
	 */
	void close() {
		this.parts.forEach(ReferenceCountUtil::release);
		this.parts.clear();
		this.sizeBytes = 0;
	}

}
