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
		if (!this.leadership.acceptsProposals()) {
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

}
