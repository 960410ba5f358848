package io.fescuehold.core.port;

import java.util.List;

import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.agreement.StoredState;

/**
 * The durable store of one replica. Methods block and are called by one thread, in order;
 * {@link #isFull()} may be called by any thread. A
 * {@link io.fescuehold.core.error.FescueholdException} with code STORAGE_FULL leaves the
 * store as it was before the call, which may be repeated; with code STORAGE_FAILED the
 * state of the store is unknown and the replica must stop.
 */
public interface ReplicaStorage extends AutoCloseable {

	/**
	 * Returns the id of the store, which was generated when the store was created.
	 * @return the id
	 */
	String storeId();

	/**
	 * Reads the store. Called once, before any write.
	 * @return the state; errors with code STORAGE_DAMAGED if a synced record is damaged
	 */
	StoredState load();

	/**
	 * Reads the newest snapshot.
	 * @return the snapshot, or null if there is none
	 */
	byte[] loadSnapshot();

	/**
	 * Writes the term and vote; durable after the next {@link #sync()}.
	 * @param state the term and vote
	 */
	void saveVote(HardState state);

	/**
	 * Removes the entries from an index onwards and appends entries there; durable after
	 * the next {@link #sync()}.
	 * @param fromIndex the index of the first removed and the first appended entry
	 * @param entries the entries to append
	 */
	void append(long fromIndex, List<LogEntry> entries);

	/**
	 * Saves a snapshot durably and removes log segments that are no longer needed.
	 * @param snapshot the description of the snapshot
	 * @param data the snapshot
	 * @param keepFromIndex the first index that stays in the log
	 * @param keepLog whether entries after the snapshot stay in the log; if not, the log
	 * is emptied
	 */
	void saveSnapshot(SnapshotMeta snapshot, byte[] data, long keepFromIndex, boolean keepLog);

	/**
	 * Reads part of the newest snapshot.
	 * @param index the index of the snapshot
	 * @param offset the position in bytes
	 * @param maxBytes the largest size of the part in bytes
	 * @return the part, or null if the newest snapshot has another index
	 */
	SnapshotPart readSnapshot(long index, long offset, int maxBytes);

	/**
	 * Makes all writes so far durable.
	 */
	void sync();

	/**
	 * Returns whether the disk has too little free space for new proposals.
	 * @return whether the disk is full
	 */
	boolean isFull();

	/**
	 * Determines anew whether the disk has too little free space.
	 */
	void checkSpace();

	@Override
	void close();

	/**
	 * Part of a snapshot.
	 *
	 * @param totalBytes the size of the whole snapshot in bytes
	 * @param data the part
	 */
	record SnapshotPart(long totalBytes, byte[] data) {
	}

}
