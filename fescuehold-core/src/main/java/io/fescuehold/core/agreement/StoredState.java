package io.fescuehold.core.agreement;

import java.util.List;
import java.util.Objects;

/**
 * State that a replica loads from its store at start-up.
 *
 * @param hardState the term and vote
 * @param snapshot the newest snapshot, or null
 * @param entries the log entries with consecutive indexes; the first index is at most one
 * above that of the snapshot
 */
public record StoredState(HardState hardState, SnapshotMeta snapshot, List<LogEntry> entries) {

	/** The state of a new store. */
	public static final StoredState EMPTY = new StoredState(HardState.INITIAL, null, List.of());

	/**
	 * Checks the arguments.
	 */
	public StoredState {
		Objects.requireNonNull(hardState, "hardState");
		Objects.requireNonNull(entries, "entries");
	}

}
