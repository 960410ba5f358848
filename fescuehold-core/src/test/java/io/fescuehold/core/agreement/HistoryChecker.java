package io.fescuehold.core.agreement;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks invariants over all replicas: at most one leader per term, and the same entry
 * and state machine state at each committed index.
 */
final class HistoryChecker {

	final TreeMap<Long, LogEntry> committed = new TreeMap<>();

	int snapshotInstalls;

	private final Map<Long, AgreementNode> leaderByTerm = new HashMap<>();

	private final Map<Long, Long> stateHashByIndex = new HashMap<>();

	static long hash(long state, LogEntry entry) {
		return (entry.kind() != EntryKind.COMMAND) ? state
				: 31 * (31 * state + entry.index()) + Arrays.hashCode(entry.data());
	}

	void observe(AgreementNode node) {
		if (node.role() == Role.LEADER) {
			// A replica that restarts and leads the same term again counts as a second
			// leader.
			AgreementNode other = this.leaderByTerm.putIfAbsent(node.term(), node);
			if (other != null && other != node) {
				throw new AssertionError(
						"Term " + node.term() + " has two leaders: " + other.self() + ", " + node.self());
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
		this.snapshotInstalls++;
		checkState(snapshot.index(), stateHash);
	}

	private void checkState(long index, long stateHash) {
		Long other = this.stateHashByIndex.putIfAbsent(index, stateHash);
		if (other != null && other != stateHash) {
			throw new AssertionError("The states at index " + index + " differ");
		}
	}

}
