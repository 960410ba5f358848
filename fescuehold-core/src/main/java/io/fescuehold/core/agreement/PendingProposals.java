package io.fescuehold.core.agreement;

import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.core.error.ErrorCode;

/**
 * Proposals at the leader that wait until their entries are applied.
 */
final class PendingProposals {

	private final NodeContext context;

	private final Leadership leadership;

	private final TreeMap<Long, Long> proposalIdByIndex = new TreeMap<>();

	PendingProposals(NodeContext context, Leadership leadership) {
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
		LogEntry entry = this.context.appendInCurrentTerm(EntryKind.COMMAND, command);
		this.proposalIdByIndex.put(entry.index(), proposalId);
	}

	/**
	 * Applies committed entries.
	 */
	void applyCommitted() {
		while (this.context.appliedIndex < this.context.commitIndex) {
			LogEntry entry = this.context.log.get(this.context.appliedIndex + 1);
			this.context.appliedIndex = entry.index();
			this.context.appliedBytes += entry.data().length;
			Long proposalId = this.proposalIdByIndex.remove(entry.index());
			this.context.emit(new Output.Apply(entry, (proposalId != null) ? proposalId : 0));
		}
	}

	/**
	 * Fails the proposals that are not yet applied when the replica stops leading. The
	 * entries may still be committed by a later leader.
	 */
	void failAll() {
		for (Map.Entry<Long, Long> pending : this.proposalIdByIndex.entrySet()) {
			this.context.emit(new Output.ProposalFailed(pending.getValue(), ErrorCode.OUTCOME_UNKNOWN));
		}
		this.proposalIdByIndex.clear();
	}

	/**
	 * Returns whether too many entries wait for a majority or for the local disk.
	 * @return whether the limit is reached
	 */
	private boolean isBacklogFull() {
		long committedAndDurable = Math.min(this.context.commitIndex, this.context.durability.durableIndex());
		return this.context.log.lastIndex() - committedAndDurable >= this.context.options.maxInFlightEntries();
	}

}
