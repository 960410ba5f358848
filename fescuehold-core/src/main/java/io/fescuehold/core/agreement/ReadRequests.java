package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.List;

import io.fescuehold.core.error.ErrorCode;

/**
 * Read requests at the leader. A read is granted under a valid lease when everything
 * committed before the request has been applied.
 */
final class ReadRequests {

	private static final long UNKNOWN_INDEX = -1;

	private final NodeContext context;

	private final Leadership leadership;

	private final List<PendingRead> pending = new ArrayList<>();

	ReadRequests(NodeContext context, Leadership leadership) {
		this.context = context;
		this.leadership = leadership;
	}

	void request(long readId, boolean handingOver) {
		if (!this.context.isLeader() || handingOver) {
			this.context.emit(new Output.ReadFailed(readId, ErrorCode.NOT_LEADER));
			return;
		}
		this.pending.add(new PendingRead(readId));
	}

	/**
	 * Grants or fails the pending reads that can be decided now.
	 */
	void advance() {
		if (this.pending.isEmpty()) {
			return;
		}
		boolean leaseValid = this.leadership.isLeaseValid();
		if (!leaseValid && !this.leadership.isBeforeFirstLease()) {
			failAll(ErrorCode.NO_QUORUM);
			return;
		}
		if (!leaseValid || !this.context.hasCommittedInTerm()) {
			return;
		}
		this.pending.removeIf(this::tryGrant);
	}

	void failAll(ErrorCode code) {
		this.pending.forEach((read) -> this.context.emit(new Output.ReadFailed(read.readId, code)));
		this.pending.clear();
	}

	private boolean tryGrant(PendingRead read) {
		if (read.readIndex == UNKNOWN_INDEX) {
			read.readIndex = this.context.commitIndex;
		}
		boolean granted = this.context.appliedIndex >= read.readIndex;
		if (granted) {
			this.context.emit(new Output.ReadGranted(read.readId));
		}
		return granted;
	}

	/**
	 * A read that waits until the entry at its read index has been applied.
	 */
	private static final class PendingRead {

		private final long readId;

		private long readIndex = UNKNOWN_INDEX;

		private PendingRead(long readId) {
			this.readId = readId;
		}

	}

}
