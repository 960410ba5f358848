package io.fescuehold.core.agreement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks what all replicas show: one leader per term, and one entry and one state per
 * committed index.
 */
final class HistoryChecker {

	final TreeMap<Long, LogEntry> committed = new TreeMap<>();

	private final Map<Long, ReplicaId> leaders = new HashMap<>();

	private final Map<Long, Long> hashes = new HashMap<>();

	static long hash(long state, LogEntry entry) {
		return (entry.kind() != EntryKind.COMMAND) ? state
				: 31 * (31 * state + entry.index()) + Arrays.hashCode(entry.data());
	}

	void observe(AgreementNode node) {
		if (node.role() == Role.LEADER) {
			ReplicaId other = this.leaders.putIfAbsent(node.term(), node.self());
			if (other != null && !other.equals(node.self())) {
				throw new AssertionError("Term " + node.term() + " has two leaders: " + other + ", " + node.self());
			}
		}
	}

	void applied(LogEntry entry, long stateHash) {
		LogEntry other = this.committed.putIfAbsent(entry.index(), entry);
		boolean equal = other == null || (other.term() == entry.term() && other.kind() == entry.kind()
				&& Arrays.equals(other.data(), entry.data()));
		if (!equal) {
			throw new AssertionError("Committed entry " + entry.index() + " changed from term " + other.term()
					+ " to term " + entry.term());
		}
		checkState(entry.index(), stateHash);
	}

	void restored(SnapshotMeta snapshot, long stateHash) {
		checkState(snapshot.index(), stateHash);
	}

	private void checkState(long index, long stateHash) {
		Long other = this.hashes.putIfAbsent(index, stateHash);
		if (other != null && other != stateHash) {
			throw new AssertionError("The states at index " + index + " differ");
		}
	}

}
