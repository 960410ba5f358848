package io.fescuehold.runtime.replica;

import java.util.HashMap;
import java.util.Map;

import io.fescuehold.core.error.ErrorCode;
import io.fescuehold.core.error.FescueholdException;
import io.fescuehold.core.error.RunStatus;
import reactor.core.publisher.MonoSink;

/**
 * Proposals, reads and membership changes whose callers wait for the outcome. Confined to
 * the event loop.
 */
final class PendingRequests {

	private static final long NO_QUORUM_RETRY_AFTER_MS = 1_000;

	private final Map<Long, MonoSink<byte[]>> proposals = new HashMap<>();

	private final Map<Long, MonoSink<Void>> readsAndChanges = new HashMap<>();

	private final String group;

	private long lastId;

	PendingRequests(String group) {
		this.group = group;
	}

	long addProposal(MonoSink<byte[]> sink) {
		this.proposals.put(++this.lastId, sink);
		return this.lastId;
	}

	long add(MonoSink<Void> sink) {
		this.readsAndChanges.put(++this.lastId, sink);
		return this.lastId;
	}

	int size() {
		return this.proposals.size() + this.readsAndChanges.size();
	}

	void completeProposal(long id, byte[] outcome) {
		MonoSink<byte[]> sink = this.proposals.remove(id);
		if (sink != null) {
			sink.success(outcome);
		}
	}

	void complete(long id) {
		MonoSink<Void> sink = this.readsAndChanges.remove(id);
		if (sink != null) {
			sink.success();
		}
	}

	void fail(long id, FescueholdException error) {
		MonoSink<byte[]> proposal = this.proposals.remove(id);
		if (proposal != null) {
			proposal.error(error);
		}
		MonoSink<Void> readOrChange = this.readsAndChanges.remove(id);
		if (readOrChange != null) {
			readOrChange.error(error);
		}
	}

	/**
	 * Fails all requests.
	 * @param reason the reason, for proposals whose outcome is unknown
	 * @param leaderDetail the leader, for requests without an effect
	 */
	void failAll(String reason, String leaderDetail) {
		Map<Long, MonoSink<byte[]>> pendingProposals = Map.copyOf(this.proposals);
		pendingProposals.keySet().forEach((id) -> fail(id, error(ErrorCode.OUTCOME_UNKNOWN, reason)));
		Map<Long, MonoSink<Void>> pendingReadsAndChanges = Map.copyOf(this.readsAndChanges);
		pendingReadsAndChanges.keySet().forEach((id) -> fail(id, error(ErrorCode.NOT_LEADER, leaderDetail)));
	}

	FescueholdException error(ErrorCode code, String detail) {
		return switch (code) {
			case NOT_LEADER -> create(code, RunStatus.NO, 0, (detail != null) ? detail : "unknown");
			case NO_QUORUM -> create(code, RunStatus.NO, NO_QUORUM_RETRY_AFTER_MS, this.group);
			case OUTCOME_UNKNOWN -> create(code, RunStatus.UNKNOWN, 0, detail);
			default -> create(code, RunStatus.NO, 0, detail);
		};
	}

	private static FescueholdException create(ErrorCode code, RunStatus run, long retryAfterMs, String detail) {
		// With plain varargs the call would be ambiguous with the other constructor.
		return FescueholdException.of(code, run, retryAfterMs, detail);
	}

}
