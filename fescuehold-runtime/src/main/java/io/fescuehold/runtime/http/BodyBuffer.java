package io.fescuehold.runtime.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Collects a body and counts its bytes against the budget of the host. The parts of a
 * body of unknown length are copied into blocks, so that many small parts cost no more
 * than a few large ones. A body that the host may not hold is discarded, whatever
 * follows. Not thread-safe.
 */
public final class BodyBuffer {

	private static final int MIN_BLOCK_BYTES = 1 << 10;

	private static final int MAX_BLOCK_BYTES = 64 << 10;

	private final ByteBudget.Lease lease;

	private final List<byte[]> blocks = new ArrayList<>();

	/** The bytes of the last block that are not used yet. */
	private int freeBytes;

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
		fillLastBlock(part);
		if (this.whole != null || !tryAddBlock(part)) {
			discard();
			return false;
		}
		return true;
	}

	private void fillLastBlock(ByteBuf part) {
		int filledBytes = Math.min(this.freeBytes, part.readableBytes());
		if (filledBytes > 0) {
			byte[] last = this.blocks.getLast();
			part.readBytes(last, last.length - this.freeBytes, filledBytes);
			this.freeBytes -= filledBytes;
		}
	}

	private boolean tryAddBlock(ByteBuf part) {
		int moreBytes = part.readableBytes();
		if (moreBytes == 0) {
			return true;
		}
		int blockBytes = Math.max(moreBytes, Math.clamp(this.reservedBytes, MIN_BLOCK_BYTES, MAX_BLOCK_BYTES));
		if (!tryReserve(blockBytes)) {
			return false;
		}
		byte[] block = new byte[blockBytes];
		part.readBytes(block, 0, moreBytes);
		this.blocks.add(block);
		this.freeBytes = blockBytes - moreBytes;
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
		if (this.blocks.size() == 1 && this.freeBytes == 0) {
			return this.blocks.getFirst();
		}
		if (!this.lease.tryReserve(this.sizeBytes)) {
			return null;
		}
		byte[] joined = new byte[this.sizeBytes];
		int offset = 0;
		for (byte[] block : this.blocks) {
			int usedBytes = Math.min(block.length, this.sizeBytes - offset);
			System.arraycopy(block, 0, joined, offset, usedBytes);
			offset += usedBytes;
		}
		discardBlocks();
		this.reservedBytes = this.sizeBytes;
		return joined;
	}

	/**
	 * Discards the body and returns its bytes to the budget.
	 */
	public void discard() {
		this.discarded = true;
		this.whole = null;
		discardBlocks();
	}

	private void discardBlocks() {
		this.blocks.clear();
		this.freeBytes = 0;
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
