package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * In-memory log: the entries after a compacted prefix, the memberships they contain and
 * the description of the newest snapshot.
 */
final class AgreementLog {

	private final List<LogEntry> entries = new ArrayList<>();

	private final TreeMap<Long, Membership> memberships = new TreeMap<>();

	private long baseIndex;

	private long baseTerm;

	private SnapshotMeta snapshot;

	AgreementLog(StoredState stored) {
		this.memberships.put(0L, Membership.EMPTY);
		if (stored.snapshot() != null) {
			reset(stored.snapshot());
		}
		for (LogEntry entry : stored.entries()) {
			if (this.snapshot != null && entry.index() <= this.snapshot.index()) {
				continue;
			}
			append(entry);
		}
	}

	long baseIndex() {
		return this.baseIndex;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	SnapshotMeta snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns the term of an entry, or -1 if the index is not in the log.
	 * @param index the index
	 * @return the term or -1
	 */
	long termAt(long index) {
		if (index == this.baseIndex) {
			return this.baseTerm;
		}
		if (index < this.baseIndex || index > lastIndex()) {
			return -1;
		}
		return get(index).term();
	}

	LogEntry get(long index) {
		return this.entries.get((int) (index - this.baseIndex - 1));
	}

	/**
	 * Returns the entries from an index on. The list ends before the size limit is
	 * exceeded but has at least one entry if there is one.
	 * @param fromIndex the first index
	 * @param toIndex the last index
	 * @param maxBytes the size limit in bytes
	 * @return the entries
	 */
	List<LogEntry> slice(long fromIndex, long toIndex, long maxBytes) {
		List<LogEntry> slice = new ArrayList<>();
		long bytes = 0;
		for (long index = fromIndex; index <= Math.min(toIndex, lastIndex()); index++) {
			LogEntry entry = get(index);
			bytes += entry.data().length;
			if (!slice.isEmpty() && bytes > maxBytes) {
				break;
			}
			slice.add(entry);
		}
		return List.copyOf(slice);
	}

	void append(LogEntry entry) {
		if (entry.index() != lastIndex() + 1) {
			throw new IllegalStateException("Entry " + entry.index() + " does not follow entry " + lastIndex());
		}
		this.entries.add(entry);
		if (entry.kind() == EntryKind.MEMBERSHIP) {
			this.memberships.put(entry.index(), MembershipCodec.decode(entry.data()));
		}
	}

	void truncateFrom(long index) {
		this.entries.subList((int) (index - this.baseIndex - 1), this.entries.size()).clear();
		this.memberships.tailMap(index, true).clear();
	}

	long firstIndexOfTerm(long index) {
		long term = termAt(index);
		long first = index;
		while (first - 1 > this.baseIndex && termAt(first - 1) == term) {
			first--;
		}
		return first;
	}

	/**
	 * Returns the index of the last entry at or before an index whose term is not above
	 * the given term.
	 * @param index the index
	 * @param term the term
	 * @return the index
	 */
	long lastIndexAtOrBelowTerm(long index, long term) {
		long last = Math.min(index, lastIndex());
		while (last > this.baseIndex && termAt(last) > term) {
			last--;
		}
		return last;
	}

	/**
	 * Returns whether a candidate's log is at least as up to date as this one: its last
	 * entry has a newer term, or the same term and no lower index.
	 * @param candidateLastIndex the index of the candidate's last entry
	 * @param candidateLastTerm the term of that entry
	 * @return whether it may get a vote
	 */
	boolean isUpToDate(long candidateLastIndex, long candidateLastTerm) {
		return candidateLastTerm > lastTerm() || (candidateLastTerm == lastTerm() && candidateLastIndex >= lastIndex());
	}

	Membership membership() {
		return this.memberships.lastEntry().getValue();
	}

	long membershipIndex() {
		return this.memberships.lastKey();
	}

	Membership membershipAt(long index) {
		return this.memberships.floorEntry(index).getValue();
	}

	/**
	 * Returns the first membership of the group, or null if it is not in the log.
	 * @return the membership as bytes, or null
	 */
	byte[] genesis() {
		boolean present = this.baseIndex == 0 && lastIndex() > 0 && get(1).kind() == EntryKind.MEMBERSHIP;
		return present ? get(1).data() : null;
	}

	boolean isEmpty() {
		return lastIndex() == 0;
	}

	/**
	 * Records a saved snapshot and removes entries that are no longer needed.
	 * @param saved the description of the snapshot
	 * @param keepFromIndex the first index that is kept
	 */
	void compact(SnapshotMeta saved, long keepFromIndex) {
		this.snapshot = saved;
		long newBaseIndex = Math.min(keepFromIndex - 1, saved.index());
		if (newBaseIndex <= this.baseIndex) {
			return;
		}
		long newBaseTerm = termAt(newBaseIndex);
		this.entries.subList(0, (int) (newBaseIndex - this.baseIndex)).clear();
		this.baseIndex = newBaseIndex;
		this.baseTerm = newBaseTerm;
		Map.Entry<Long, Membership> base = this.memberships.floorEntry(newBaseIndex);
		this.memberships.headMap(newBaseIndex, true).clear();
		this.memberships.put(base.getKey(), base.getValue());
	}

	/**
	 * Replaces the whole log with a snapshot.
	 * @param installed the description of the snapshot
	 */
	void reset(SnapshotMeta installed) {
		this.snapshot = installed;
		this.entries.clear();
		this.memberships.clear();
		this.baseIndex = installed.index();
		this.baseTerm = installed.term();
		this.memberships.put(installed.index(), MembershipCodec.decode(installed.membership()));
	}

	/**
	 * Returns the first index of the longest run of entries that ends at an index and
	 * stays within a number of entries and a size.
	 * @param index the index of the last entry
	 * @param maxEntries the limit of the number of entries
	 * @param maxBytes the size limit in bytes
	 * @return the index of the first entry, or the index after the last if there is none
	 */
	long firstIndexWithin(long index, int maxEntries, long maxBytes) {
		long first = index + 1;
		long size = 0;
		while (first - 1 > this.baseIndex && index + 1 - first < maxEntries) {
			size += get(first - 1).data().length;
			if (size > maxBytes) {
				break;
			}
			first--;
		}
		return first;
	}

}
