package io.fescuehold.core.agreement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks which writes are durable. A message that depends on the saved term and vote
 * waits until they are synced; log entries count as durable only if they were not
 * overwritten after the write that the sync covers.
 */
final class DurabilityTracker {

	private final Deque<PendingWrite> pending = new ArrayDeque<>();

	private long lastSequence;

	private long syncedSequence;

	private long voteSequence;

	private long durableIndex;

	private long unwrittenFrom;

	DurabilityTracker(long durableIndex) {
		this.durableIndex = durableIndex;
		this.unwrittenFrom = durableIndex + 1;
	}

	long durableIndex() {
		return this.durableIndex;
	}

	/**
	 * Returns the first index that has not been passed to the storage.
	 * @return the index
	 */
	long unwrittenFrom() {
		return this.unwrittenFrom;
	}

	long voteSequence() {
		return this.voteSequence;
	}

	boolean isSynced(long sequence) {
		return sequence <= this.syncedSequence;
	}

	long nextVoteWrite() {
		this.voteSequence = ++this.lastSequence;
		return this.voteSequence;
	}

	long nextLogWrite(long lastIndex) {
		long sequence = ++this.lastSequence;
		this.pending.add(new PendingWrite(sequence, lastIndex));
		this.unwrittenFrom = lastIndex + 1;
		return sequence;
	}

	/**
	 * Registers the write of a received snapshot.
	 * @param snapshotIndex the index of the snapshot
	 * @param keepLog whether entries after the snapshot stay
	 * @return the sequence number of the write
	 */
	long nextSnapshotWrite(long snapshotIndex, boolean keepLog) {
		if (!keepLog) {
			truncateFrom(1);
			this.unwrittenFrom = snapshotIndex + 1;
		}
		long sequence = ++this.lastSequence;
		this.pending.add(new PendingWrite(sequence, snapshotIndex));
		return sequence;
	}

	/**
	 * Records that entries from an index on are overwritten.
	 * @param index the index
	 */
	void truncateFrom(long index) {
		this.durableIndex = Math.min(this.durableIndex, index - 1);
		this.unwrittenFrom = Math.min(this.unwrittenFrom, index);
		this.pending.forEach((write) -> write.lastIndex = Math.min(write.lastIndex, index - 1));
	}

	void synced(long sequence) {
		this.syncedSequence = Math.max(this.syncedSequence, sequence);
		while (!this.pending.isEmpty() && this.pending.peek().sequence <= sequence) {
			this.durableIndex = Math.max(this.durableIndex, this.pending.poll().lastIndex);
		}
	}

	/**
	 * A write of log entries that is not yet synced.
	 */
	private static final class PendingWrite {

		private final long sequence;

		private long lastIndex;

		private PendingWrite(long sequence, long lastIndex) {
			this.sequence = sequence;
			this.lastIndex = lastIndex;
		}

	}

}
