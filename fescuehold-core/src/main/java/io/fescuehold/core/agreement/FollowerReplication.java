package io.fescuehold.core.agreement;

import java.io.ByteArrayOutputStream;
import java.util.List;

/**
 * The follower's side of replication: compares and appends entries, assembles received
 * snapshots and acknowledges durable entries.
 */
final class FollowerReplication {

	private final NodeContext context;

	private final Election election;

	private long leaderTerm;

	private long verifiedIndex;

	private long acknowledgedIndex;

	private long leaderSentAtMs;

	private SnapshotMeta incomingSnapshot;

	private ByteArrayOutputStream incomingData;

	FollowerReplication(NodeContext context, Election election) {
		this.context = context;
		this.election = election;
	}

	void onAppend(AgreementMessage.AppendRequest request) {
		if (!acceptLeader(request.from(), request.term(), request.sentAtMs())) {
			return;
		}
		long prevIndex = request.prevIndex();
		List<LogEntry> entries = request.entries();
		long base = this.context.log.baseIndex();
		if (prevIndex < base) {
			// Entries up to the base are committed and therefore equal to the leader's.
			int skip = (int) Math.min(entries.size(), base - prevIndex);
			entries = entries.subList(skip, entries.size());
			prevIndex = entries.isEmpty() ? 0 : base;
		}
		else if (this.context.log.termAt(prevIndex) != request.prevTerm()) {
			reject(prevIndex);
			return;
		}
		appendNew(entries);
		this.verifiedIndex = Math.max(this.verifiedIndex, prevIndex + entries.size());
		commitUpTo(Math.min(request.commitIndex(), this.verifiedIndex));
		acknowledge();
	}

	void onChunk(AgreementMessage.SnapshotChunk chunk) {
		if (!acceptLeader(chunk.from(), chunk.term(), chunk.sentAtMs())) {
			return;
		}
		SnapshotMeta snapshot = chunk.snapshot();
		if (snapshot.index() <= this.context.commitIndex) {
			this.verifiedIndex = Math.max(this.verifiedIndex, this.context.commitIndex);
			acknowledge();
			return;
		}
		if (this.incomingSnapshot == null || this.incomingSnapshot.index() != snapshot.index()) {
			this.incomingSnapshot = snapshot;
			this.incomingData = new ByteArrayOutputStream();
		}
		if (chunk.offset() == this.incomingData.size()) {
			this.incomingData.writeBytes(chunk.data());
		}
		long size = this.incomingData.size();
		this.context.sendWhenVoteDurable(chunk.from(), new AgreementMessage.SnapshotReply(this.context.group(),
				this.context.self, chunk.from(), this.context.term, snapshot.index(), size, chunk.sentAtMs()));
		if (size == chunk.totalBytes()) {
			install(snapshot, this.incomingData.toByteArray());
		}
	}

	/**
	 * Acknowledges entries that a sync made durable.
	 */
	void onSynced() {
		boolean following = this.context.role == Role.FOLLOWER && this.context.leader != null
				&& this.leaderTerm == this.context.term;
		if (following && durableMatchIndex() > this.acknowledgedIndex) {
			acknowledge();
		}
	}

	private boolean acceptLeader(ReplicaId from, long term, long sentAtMs) {
		if (term < this.context.term) {
			// Tells a leader of an earlier term about the newer one.
			this.context.sendWhenVoteDurable(from, new AgreementMessage.AppendReply(this.context.group(),
					this.context.self, from, this.context.term, false, 0, 0, 0, 0, 0, Progress.NEVER_MS));
			return false;
		}
		if (term > this.context.term || this.context.role != Role.FOLLOWER) {
			this.election.becomeFollower(term, from);
		}
		if (this.leaderTerm != term) {
			this.leaderTerm = term;
			this.verifiedIndex = 0;
			this.acknowledgedIndex = 0;
			this.leaderSentAtMs = Progress.NEVER_MS;
			this.incomingSnapshot = null;
			this.incomingData = null;
		}
		this.leaderSentAtMs = Math.max(this.leaderSentAtMs, sentAtMs);
		this.election.onLeaderContact(from);
		return true;
	}

	private void appendNew(List<LogEntry> entries) {
		for (LogEntry entry : entries) {
			if (this.context.log.termAt(entry.index()) == entry.term()) {
				continue;
			}
			if (entry.index() <= this.context.log.lastIndex()) {
				this.context.truncateLog(entry.index());
			}
			this.context.log.append(entry);
		}
	}

	private void install(SnapshotMeta snapshot, byte[] data) {
		this.incomingSnapshot = null;
		this.incomingData = null;
		this.context.writeLog();
		boolean keepLog = this.context.log.termAt(snapshot.index()) == snapshot.term();
		long sequence = this.context.durability.nextSnapshotWrite(snapshot.index(), keepLog);
		if (keepLog) {
			this.context.log.compact(snapshot, snapshot.index() + 1);
		}
		else {
			this.context.log.reset(snapshot);
		}
		this.context.commitIndex = snapshot.index();
		this.context.appliedIndex = snapshot.index();
		this.verifiedIndex = Math.max(this.verifiedIndex, snapshot.index());
		this.context.emit(new Output.InstallSnapshot(sequence, snapshot, data, keepLog));
	}

	private void commitUpTo(long index) {
		this.context.commitIndex = Math.max(this.context.commitIndex, index);
	}

	private long durableMatchIndex() {
		return Math.min(this.verifiedIndex, this.context.durability.durableIndex());
	}

	private void acknowledge() {
		this.acknowledgedIndex = durableMatchIndex();
		this.context.sendWhenVoteDurable(this.context.leader,
				new AgreementMessage.AppendReply(this.context.group(), this.context.self, this.context.leader,
						this.context.term, true, this.acknowledgedIndex, this.verifiedIndex, 0, 0, 0,
						this.leaderSentAtMs));
	}

	private void reject(long prevIndex) {
		long conflictTerm = 0;
		long conflictIndex = this.context.log.lastIndex() + 1;
		if (prevIndex < conflictIndex) {
			conflictTerm = this.context.log.termAt(prevIndex);
			conflictIndex = this.context.log.firstIndexOfTerm(prevIndex);
		}
		this.context.sendWhenVoteDurable(this.context.leader,
				new AgreementMessage.AppendReply(this.context.group(), this.context.self, this.context.leader,
						this.context.term, false, 0, 0, prevIndex, conflictTerm, conflictIndex, this.leaderSentAtMs));
	}

}
