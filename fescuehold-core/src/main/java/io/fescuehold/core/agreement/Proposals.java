package io.fescuehold.core.agreement;

import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.core.error.ErrorCode;

/**
 * Proposals at the leader that wait until their entries are applied.
 */
final class Proposals {

	private final NodeContext context;

	private final Leadership leadership;

	private final TreeMap<Long, Long> idByIndex = new TreeMap<>();

	Proposals(NodeContext context, Leadership leadership) {
		this.context = context;
		this.leadership = leadership;
	}

	void propose(long proposalId, byte[] command, boolean handingOver) {
		if (!this.context.isLeader() || handingOver) {
			this.context.emit(new Output.ProposalFailed(proposalId, ErrorCode.NOT_LEADER));
			return;
		}
		if (!this.leadership.acceptsProposals() || isBacklogFull()) {
			this.context.emit(new Output.ProposalFailed(proposalId, ErrorCode.NO_QUORUM));
			return;
		}
		LogEntry entry = this.context.appendOwn(EntryKind.COMMAND, command);
		this.idByIndex.put(entry.index(), proposalId);
	}

	/**
	 * Applies committed entries.
	 */
	void applyCommitted() {
		while (this.context.appliedIndex < this.context.commitIndex) {
			LogEntry entry = this.context.log.get(this.context.appliedIndex + 1);
			this.context.appliedIndex = entry.index();
			this.context.appliedBytes += entry.data().length;
			Long proposalId = this.idByIndex.remove(entry.index());
			this.context.emit(new Output.Apply(entry, (proposalId != null) ? proposalId : 0));
		}
	}

	/**
	 * Fails what is not yet applied when the replica no longer leads. The entries may
	 * still be committed by a later leader.
	 */
	void failAll() {
		for (Map.Entry<Long, Long> waiting : this.idByIndex.entrySet()) {
			this.context.emit(new Output.ProposalFailed(waiting.getValue(), ErrorCode.OUTCOME_UNKNOWN));
		}
		this.idByIndex.clear();
	}

	/**
	 * Returns whether too many entries wait for a majority or for the own disk.
	 * @return whether this is so
	 */
	private boolean isBacklogFull() {
		long settled = Math.min(this.context.commitIndex, this.context.durable.durableIndex());
		return this.context.log.lastIndex() - settled >= this.context.options.maxInFlightEntries();
	}

}
