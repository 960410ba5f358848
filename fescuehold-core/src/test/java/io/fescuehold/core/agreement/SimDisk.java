package io.fescuehold.core.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A simulated disk that loses unsynced writes in a crash.
 */
final class SimDisk {

	final String storeId;

	private final Deque<Output> unsynced = new ArrayDeque<>();

	private final TreeMap<Long, LogEntry> entries = new TreeMap<>();

	private HardState hardState = HardState.INITIAL;

	private SnapshotMeta snapshot;

	private byte[] snapshotData;

	SimDisk(String storeId) {
		this.storeId = storeId;
	}

	void write(Output output) {
		this.unsynced.add(output);
	}

	void writeSnapshot(Output.TakeSnapshot output, byte[] data) {
		this.unsynced.add(new Output.InstallSnapshot(0, output.snapshot(), data, true));
	}

	/**
	 * Makes all writes so far durable.
	 * @return the writes in order
	 */
	List<Output> sync() {
		List<Output> done = new ArrayList<>(this.unsynced);
		this.unsynced.forEach(this::apply);
		this.unsynced.clear();
		return done;
	}

	/**
	 * Loses the writes that were not synced, except for some of the oldest ones.
	 * @param random the source of randomness
	 */
	void crash(RandomGenerator random) {
		int surviving = random.nextInt(this.unsynced.size() + 1);
		for (int i = 0; i < surviving; i++) {
			apply(this.unsynced.poll());
		}
		this.unsynced.clear();
	}

	void discardUnsynced() {
		this.unsynced.clear();
	}

	boolean hasUnsyncedEntries() {
		return this.unsynced.stream().anyMatch((output) -> !(output instanceof Output.SaveVote));
	}

	StoredState load() {
		return new StoredState(this.hardState, this.snapshot, List.copyOf(this.entries.values()));
	}

	byte[] snapshotData() {
		return this.snapshotData;
	}

	SnapshotMeta snapshot() {
		return this.snapshot;
	}

	private void apply(Output output) {
		switch (output) {
			case Output.SaveVote vote -> this.hardState = vote.state();
			case Output.Append append -> {
				this.entries.tailMap(append.fromIndex(), true).clear();
				append.entries().forEach((entry) -> this.entries.put(entry.index(), entry));
			}
			case Output.InstallSnapshot install -> {
				if (this.snapshot != null && install.snapshot().index() <= this.snapshot.index()) {
					return;
				}
				this.snapshot = install.snapshot();
				this.snapshotData = install.data();
				if (!install.keepLog()) {
					this.entries.clear();
				}
				this.entries.headMap(this.snapshot.index(), true).clear();
			}
			default -> throw new IllegalArgumentException("Not a write: " + output);
		}
	}

}
