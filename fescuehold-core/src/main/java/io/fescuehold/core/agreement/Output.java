package io.fescuehold.core.agreement;

import java.util.List;

import io.fescuehold.core.error.ErrorCode;

/**
 * An action that an {@link AgreementNode} requests from its driver. Outputs are carried
 * out in order. Outputs with a sequence number are writes: the driver writes and syncs
 * them in order and reports the highest number synced to
 * {@link AgreementNode#synced(long, long)}.
 */
public sealed interface Output {

	/**
	 * Sends a message.
	 *
	 * @param hostId the host id of the receiver
	 * @param message the message
	 */
	record Send(String hostId, AgreementMessage message) implements Output {
	}

	/**
	 * Saves the term and vote.
	 *
	 * @param sequence the sequence number of the write
	 * @param state the term and vote
	 */
	record SaveVote(long sequence, HardState state) implements Output {
	}

	/**
	 * Removes all entries from an index on and appends entries there.
	 *
	 * @param sequence the sequence number of the write
	 * @param fromIndex the index
	 * @param entries the entries
	 */
	record Append(long sequence, long fromIndex, List<LogEntry> entries) implements Output {
	}

	/**
	 * Saves a snapshot received from the leader and replaces the state machine's state.
	 *
	 * @param sequence the sequence number of the write
	 * @param snapshot the description of the snapshot
	 * @param data the snapshot
	 * @param keepLog whether entries after the snapshot stay in the log; if not, the log
	 * is emptied
	 */
	record InstallSnapshot(long sequence, SnapshotMeta snapshot, byte[] data, boolean keepLog) implements Output {
	}

	/**
	 * Applies a committed entry.
	 *
	 * @param entry the entry
	 * @param proposalId the id of the proposal that waits for the outcome, or 0
	 */
	record Apply(LogEntry entry, long proposalId) implements Output {
	}

	/**
	 * Takes and saves a snapshot of the state machine as it is after the previous
	 * outputs, then calls {@link AgreementNode#snapshotSaved(long, SnapshotMeta)} or
	 * {@link AgreementNode#snapshotFailed(long)}.
	 *
	 * @param snapshot the description of the snapshot
	 * @param keepFromIndex the first index that stays in the log
	 */
	record TakeSnapshot(SnapshotMeta snapshot, long keepFromIndex) implements Output {
	}

	/**
	 * Reads part of the saved snapshot and sends it as
	 * {@link AgreementMessage.SnapshotChunk}. Nothing is sent if the snapshot no longer
	 * exists.
	 *
	 * @param to the receiver
	 * @param term the term of the message
	 * @param snapshot the description of the snapshot
	 * @param offset the position in bytes
	 * @param maxBytes the largest size of the part in bytes
	 * @param sentAtMs the time of the message
	 */
	record SendSnapshotChunk(ReplicaId to, long term, SnapshotMeta snapshot, long offset, int maxBytes,
			long sentAtMs) implements Output {
	}

	/**
	 * Fails a proposal.
	 *
	 * @param proposalId the id of the proposal
	 * @param code NOT_LEADER or NO_QUORUM if it was not accepted, or OUTCOME_UNKNOWN
	 */
	record ProposalFailed(long proposalId, ErrorCode code) implements Output {
	}

	/**
	 * Grants a read: everything committed before the request has been applied.
	 *
	 * @param readId the id of the request
	 */
	record ReadGranted(long readId) implements Output {
	}

	/**
	 * Fails a read.
	 *
	 * @param readId the id of the request
	 * @param code NOT_LEADER or NO_QUORUM
	 */
	record ReadFailed(long readId, ErrorCode code) implements Output {
	}

	/**
	 * Reports that a membership change is done.
	 *
	 * @param commandId the id of the command
	 */
	record ChangeDone(long commandId) implements Output {
	}

	/**
	 * Fails a membership command.
	 *
	 * @param commandId the id of the command
	 * @param code MEMBERSHIP_REFUSED, NOT_LEADER or OUTCOME_UNKNOWN
	 * @param reason the reason and the remedy
	 */
	record ChangeFailed(long commandId, ErrorCode code, String reason) implements Output {
	}

}
