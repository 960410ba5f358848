package io.fescuehold.runtime.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Collects a body and counts its bytes against the budget of the host. A body that the
 * host may not hold is discarded, whatever follows. Not thread-safe.
 */
public final class BodyBuffer {

	private final ByteBudget.Lease lease;

	private final List<byte[]> chunks = new ArrayList<>();

	/** Holds the whole body if its length is known, else null. */
	private byte[] whole;

	private int sizeBytes;

	private long reservedBytes;

	private boolean discarded;

	/**
	 * Creates an empty buffer.
	 * @param lease the bytes of the request to which the body belongs
	 */
	public BodyBuffer(ByteBudget.Lease lease) {
		this.lease = lease;
	}

	/**
	 * Prepares for a body of known length.
	 * @param lengthBytes the length in bytes
	 * @return whether the host may hold it
	 */
	public boolean tryExpect(int lengthBytes) {
		if (!tryReserve(lengthBytes)) {
			discard();
			return false;
		}
		this.whole = new byte[lengthBytes];
		return true;
	}

	/**
	 * Appends a part of the body, which is not released.
	 * @param part the part
	 * @return whether the host may hold it
	 */
	public boolean tryAppend(ByteBuf part) {
		int partBytes = part.readableBytes();
		this.sizeBytes += partBytes;
		if (this.discarded) {
			return false;
		}
		if (this.whole != null && this.sizeBytes <= this.whole.length) {
			part.readBytes(this.whole, this.sizeBytes - partBytes, partBytes);
			return true;
		}
		if (this.whole != null || !tryReserve(partBytes)) {
			discard();
			return false;
		}
		byte[] chunk = new byte[partBytes];
		part.readBytes(chunk);
		this.chunks.add(chunk);
		return true;
	}

	/**
	 * Returns the number of bytes so far.
	 * @return the number of bytes
	 */
	public int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Returns the body, whose bytes stay reserved until the lease is closed.
	 * @return the body, or null if it was discarded or the host may not hold it in one
	 * piece
	 */
	public byte[] toBytes() {
		if (this.discarded) {
			return null;
		}
		if (this.whole != null) {
			return (this.sizeBytes == this.whole.length) ? this.whole : Arrays.copyOf(this.whole, this.sizeBytes);
		}
		if (this.chunks.size() == 1) {
			return this.chunks.getFirst();
		}
		if (!this.lease.tryReserve(this.sizeBytes)) {
			return null;
		}
		byte[] joined = new byte[this.sizeBytes];
		int offset = 0;
		for (byte[] chunk : this.chunks) {
			System.arraycopy(chunk, 0, joined, offset, chunk.length);
			offset += chunk.length;
		}
		this.chunks.clear();
		this.lease.release(this.sizeBytes);
		return joined;
	}

	/**
	 * Discards the body and returns its bytes to the budget.
	 */
	public void discard() {
		this.discarded = true;
		this.chunks.clear();
		this.whole = null;
		this.lease.release(this.reservedBytes);
		this.reservedBytes = 0;
	}

	private boolean tryReserve(long bytes) {
		if (!this.lease.tryReserve(bytes)) {
			return false;
		}
		this.reservedBytes += bytes;
		return true;
	}

}
