package io.fescuehold.core.agreement;

import java.util.List;

/**
 * The leader's side of replication: sends entries, heartbeats and snapshots, and advances
 * the commit index.
 */
final class LeaderReplication {

	private final NodeContext context;

	private final Leadership leadership;

	LeaderReplication(NodeContext context, Leadership leadership) {
		this.context = context;
		this.leadership = leadership;
	}

	/**
	 * Sends due entries, heartbeats and snapshot chunks to every member.
	 */
	void sendAll() {
		for (Progress member : this.leadership.allProgress()) {
			sendTo(member);
		}
	}

	void onReply(AgreementMessage.AppendReply reply) {
		Progress member = this.leadership.progressOf(reply.from());
		if (member == null || reply.term() != this.context.term) {
			return;
		}
		member.ackedSentAtMs = Math.max(member.ackedSentAtMs, reply.sentAtMs());
		if (reply.success()) {
			onSuccess(member, reply);
		}
		else {
			onRejection(member, reply);
		}
	}

	void onSnapshotReply(AgreementMessage.SnapshotReply reply) {
		Progress member = this.leadership.progressOf(reply.from());
		if (member == null || reply.term() != this.context.term) {
			return;
		}
		member.ackedSentAtMs = Math.max(member.ackedSentAtMs, reply.sentAtMs());
		boolean current = member.mode == Progress.Mode.SNAPSHOT && member.snapshot.index() == reply.snapshotIndex();
		if (current && reply.receivedBytes() != member.snapshotOffset) {
			member.snapshotOffset = reply.receivedBytes();
			member.chunkSentAtMs = Progress.NEVER_MS;
		}
	}

	/**
	 * Advances the commit index. Entries of earlier terms are committed only together
	 * with one of the current term.
	 */
	void advanceCommit() {
		long index = this.leadership.majorityIndex();
		if (index > this.context.commitIndex && this.context.log.termAt(index) == this.context.term) {
			this.context.commitIndex = index;
		}
	}

	private void onSuccess(Progress member, AgreementMessage.AppendReply reply) {
		member.matchIndex = Math.max(member.matchIndex, reply.matchIndex());
		long next = Math.max(reply.verifiedIndex(), member.matchIndex) + 1;
		switch (member.mode) {
			case PROBE -> {
				member.probeSent = false;
				if (next > this.context.log.baseIndex()) {
					member.mode = Progress.Mode.PIPELINE;
					member.nextIndex = next;
				}
			}
			case PIPELINE -> member.nextIndex = Math.max(member.nextIndex, next);
			case SNAPSHOT -> {
				if (next > member.snapshot.index()) {
					member.snapshot = null;
					member.mode = Progress.Mode.PIPELINE;
					member.nextIndex = next;
				}
			}
		}
	}

	private void onRejection(Progress member, AgreementMessage.AppendReply reply) {
		boolean stale = member.mode == Progress.Mode.SNAPSHOT || reply.rejectedPrevIndex() <= member.matchIndex
				|| (member.mode == Progress.Mode.PROBE && reply.rejectedPrevIndex() != member.nextIndex - 1);
		if (stale) {
			return;
		}
		long next = reply.conflictIndex();
		if (reply.conflictTerm() > 0) {
			long last = this.context.log.lastIndexAtOrBelowTerm(reply.rejectedPrevIndex() - 1, reply.conflictTerm());
			boolean hasConflictTerm = this.context.log.termAt(last) == reply.conflictTerm();
			next = (hasConflictTerm && last + 1 > next) ? last + 1 : next;
		}
		next = Math.min(next, Math.min(reply.rejectedPrevIndex(), this.context.log.lastIndex() + 1));
		member.nextIndex = Math.max(next, member.matchIndex + 1);
		member.mode = Progress.Mode.PROBE;
		member.probeSent = false;
	}

	private void sendTo(Progress member) {
		if (member.mode != Progress.Mode.SNAPSHOT && member.nextIndex <= this.context.log.baseIndex()) {
			member.mode = Progress.Mode.SNAPSHOT;
			member.snapshot = null;
		}
		boolean heartbeatDue = this.context.nowMs >= member.lastSentAtMs + this.context.timing().heartbeatMs();
		switch (member.mode) {
			case PROBE -> {
				if (!member.probeSent || heartbeatDue) {
					member.probeSent = true;
					sendEntries(member, batch(member));
				}
			}
			case PIPELINE -> sendPipelined(member, heartbeatDue);
			case SNAPSHOT -> {
				sendChunk(member);
				if (heartbeatDue) {
					send(member, 0, 0, List.of());
				}
			}
		}
	}

	private void sendPipelined(Progress member, boolean heartbeatDue) {
		boolean sent = false;
		long last = lastIndexFor(member);
		while (member.nextIndex <= last
				&& member.nextIndex - member.matchIndex <= this.context.options.maxInFlightEntries()) {
			List<LogEntry> entries = batch(member);
			sendEntries(member, entries);
			member.nextIndex += entries.size();
			sent = true;
		}
		if (!sent && heartbeatDue) {
			sendEntries(member, List.of());
		}
	}

	/**
	 * Returns the last index to send. The entry that removes a member is sent to it only
	 * after it is committed: the group may need its vote until then, and the member stops
	 * voting once it has the entry.
	 * @param member the member
	 * @return the index
	 */
	private long lastIndexFor(Progress member) {
		return (member.removedAtMs != Progress.NEVER_MS) ? this.context.commitIndex : this.context.log.lastIndex();
	}

	private List<LogEntry> batch(Progress member) {
		long toIndex = Math.min(lastIndexFor(member), member.nextIndex + this.context.options.maxInFlightEntries() - 1);
		return this.context.log.slice(member.nextIndex, toIndex, this.context.options.maxBatchBytes());
	}

	private void sendEntries(Progress member, List<LogEntry> entries) {
		long prevIndex = member.nextIndex - 1;
		send(member, prevIndex, this.context.log.termAt(prevIndex), entries);
	}

	private void send(Progress member, long prevIndex, long prevTerm, List<LogEntry> entries) {
		member.lastSentAtMs = this.context.nowMs;
		this.context.send(member.id,
				new AgreementMessage.AppendRequest(this.context.group(), this.context.self, member.id,
						this.context.term, prevIndex, prevTerm, entries, this.context.commitIndex, this.context.nowMs));
	}

	private void sendChunk(Progress member) {
		SnapshotMeta newest = this.context.log.snapshot();
		if (member.snapshot == null || member.snapshot.index() != newest.index()) {
			member.snapshot = newest;
			member.snapshotOffset = 0;
			member.chunkSentAtMs = Progress.NEVER_MS;
		}
		long resendMs = this.context.timing().electionTimeoutMs();
		if (this.context.nowMs >= member.chunkSentAtMs + resendMs) {
			member.chunkSentAtMs = this.context.nowMs;
			this.context.emit(new Output.SendSnapshotChunk(member.id, this.context.term, member.snapshot,
					member.snapshotOffset, this.context.options.maxBatchBytes(), this.context.nowMs));
		}
	}

}
