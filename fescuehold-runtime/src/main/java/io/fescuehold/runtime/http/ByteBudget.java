package io.fescuehold.runtime.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The bytes that a host may hold for all requests together: bodies of callers, responses
 * of servers that are collected, and events of streams that are not complete. A bound for
 * each request alone does not keep many of them from exhausting the memory of the host.
 * <p>
 * A request that holds many bytes may only use a part of the budget, so that the usual
 * small requests go on while others press against it. Thread-safe.
 */
public final class ByteBudget {

	/** A request that holds no more than this may use the whole budget. */
	public static final int SMALL_BYTES = 64 << 10;

	private static final double LARGE_PART = 0.75;

	private final long maxBytes;

	private final AtomicLong heldBytes = new AtomicLong();

	/**
	 * Creates a budget.
	 * @param maxBytes the number of bytes that may be held
	 */
	public ByteBudget(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Begins to count the bytes of a request.
	 * @return the lease, which holds nothing
	 */
	public Lease lease() {
		return new Lease();
	}

	/**
	 * Returns the bytes that are held.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.heldBytes.get();
	}

	/**
	 * Returns the limit.
	 * @return the number of bytes that may be held
	 */
	public long maxBytes() {
		return this.maxBytes;
	}

	/**
	 * The bytes that one request holds.
	 */
	public final class Lease implements AutoCloseable {

		private long leasedBytes;

		private boolean closed;

		/**
		 * Takes bytes from the budget.
		 * @param bytes the number of bytes
		 * @return whether they may be held; nothing is taken otherwise
		 */
		public synchronized boolean tryReserve(long bytes) {
			ByteBudget budget = ByteBudget.this;
			double part = (this.leasedBytes + bytes <= SMALL_BYTES) ? 1 : LARGE_PART;
			if (this.closed || budget.heldBytes.addAndGet(bytes) > budget.maxBytes * part) {
				if (!this.closed) {
					budget.heldBytes.addAndGet(-bytes);
				}
				return false;
			}
			this.leasedBytes += bytes;
			return true;
		}

		/**
		 * Returns bytes to the budget.
		 * @param bytes the number of bytes, of which no more than are held are returned
		 */
		public synchronized void release(long bytes) {
			long released = Math.min(bytes, this.leasedBytes);
			this.leasedBytes -= released;
			ByteBudget.this.heldBytes.addAndGet(-released);
		}

		/**
		 * Returns all bytes to the budget. Nothing can be taken afterwards.
		 */
		@Override
		public synchronized void close() {
			this.closed = true;
			release(this.leasedBytes);
		}

	}

}
