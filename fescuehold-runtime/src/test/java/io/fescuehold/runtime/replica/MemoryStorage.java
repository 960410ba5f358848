package io.fescuehold.runtime.replica;

import java.util.List;
import java.util.TreeMap;

import io.fescuehold.core.agreement.HardState;
import io.fescuehold.core.agreement.LogEntry;
import io.fescuehold.core.agreement.SnapshotMeta;
import io.fescuehold.core.agreement.StoredState;
import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.port.ReplicaStorage;

/**
 * An in-memory store whose syncs can be made to fail.
 */
final class MemoryStorage implements ReplicaStorage {

	volatile ErrorCode syncError;

	volatile boolean closed;

	volatile int syncs;

	private final String storeId;

	private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

	private HardState hardState = HardState.INITIAL;

	private SnapshotMeta snapshot;

	private byte[] snapshotData;

	MemoryStorage(String storeId) {
		this.storeId = storeId;
	}

	@Override
	public String storeId() {
		return this.storeId;
	}

	@Override
	public StoredState load() {
		return new StoredState(this.hardState, this.snapshot, List.copyOf(this.entries.values()));
	}

	@Override
	public byte[] loadSnapshot() {
		return this.snapshotData;
	}

	@Override
	public void saveVote(HardState state) {
		this.hardState = state;
	}

	@Override
	public void append(long fromIndex, List<LogEntry> added) {
		this.entries.tailMap(fromIndex, true).clear();
		added.forEach((entry) -> this.entries.put(entry.index(), entry));
	}

	@Override
	public void saveSnapshot(SnapshotMeta meta, byte[] data, long keepFromIndex, boolean keepLog) {
		sync();
		this.snapshot = meta;
		this.snapshotData = data;
		this.entries.headMap(keepLog ? keepFromIndex : Long.MAX_VALUE, false).clear();
	}

	@Override
	public SnapshotPart readSnapshot(long index, long offset, int maxBytes) {
		return new SnapshotPart(this.snapshotData.length, this.snapshotData);
	}

	@Override
	public void checkSpace() {
	}

	@Override
	public void sync() {
		if (this.syncError != null) {
			throw new FescueholdException(this.syncError, "memory", "a test makes the sync fail");
		}
		this.syncs++;
	}

	@Override
	public boolean isFull() {
		return this.syncError == ErrorCode.STORAGE_FULL;
	}

	@Override
	public void close() {
		this.closed = true;
	}

}
