package io.fescuehold.core.agreement;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.error.ErrorCode;

/**
 * Clients that propose, read and change the membership, and that check the answers.
 */
final class SimClients {

	/** Log index of each acknowledged proposal by id. */
	final Map<Long, Long> acknowledged = new HashMap<>();

	final Set<Long> refused = new HashSet<>();

	final Set<Long> changesDone = new HashSet<>();

	final Set<Long> changesFailed = new HashSet<>();

	int readsGranted;

	int readsFailed;

	private final Simulation simulation;

	private final Map<Long, Long> minIndexByReadId = new HashMap<>();

	private final Map<Long, MembershipChange> changes = new HashMap<>();

	private long lastId;

	private long newestAcknowledgedIndex;

	SimClients(Simulation simulation) {
		this.simulation = simulation;
	}

	long propose(SimHost host) {
		long id = ++this.lastId;
		byte[] command = ByteBuffer.allocate(Long.BYTES).putLong(id).array();
		host.schedule(0, () -> host.node.propose(host.clockMs(), id, command));
		return id;
	}

	void read(SimHost host) {
		long id = ++this.lastId;
		host.schedule(0, () -> {
			this.minIndexByReadId.put(id, this.newestAcknowledgedIndex);
			host.node.read(host.clockMs(), id);
		});
	}

	long change(SimHost host, MembershipChange change) {
		long id = ++this.lastId;
		this.changes.put(id, change);
		host.schedule(0, () -> host.node.change(host.clockMs(), id, change));
		return id;
	}

	void applied(long proposalId, long index) {
		if (proposalId != 0) {
			this.acknowledged.put(proposalId, index);
			this.newestAcknowledgedIndex = Math.max(this.newestAcknowledgedIndex, index);
		}
	}

	void proposalFailed(long proposalId, ErrorCode code) {
		if (code != ErrorCode.OUTCOME_UNKNOWN) {
			this.refused.add(proposalId);
		}
	}

	void readGranted(long readId, long appliedIndex) {
		this.readsGranted++;
		long minIndex = this.minIndexByReadId.remove(readId);
		if (appliedIndex < minIndex) {
			throw new AssertionError("Stale read: state at index " + appliedIndex + " but " + minIndex
					+ " was acknowledged before the request");
		}
	}

	void readFailed(long readId, ErrorCode code) {
		this.readsFailed++;
		this.minIndexByReadId.remove(readId);
	}

	void changeDone(long commandId, AgreementNode node) {
		this.changesDone.add(commandId);
		MembershipChange change = this.changes.get(commandId);
		ChangeRecord record = node.membership().findDone(change.requestId());
		if (record == null) {
			throw new AssertionError("Change " + change + " is reported but not recorded");
		}
	}

	void changeFailed(long commandId, boolean wasRefused) {
		this.changesFailed.add(commandId);
	}

	void checkFinal() {
		Map<Long, Long> indexById = new HashMap<>();
		for (LogEntry entry : this.simulation.checker.committed.values()) {
			if (entry.kind() == EntryKind.COMMAND) {
				Long other = indexById.put(ByteBuffer.wrap(entry.data()).getLong(), entry.index());
				if (other != null) {
					throw new AssertionError("One proposal is at indexes " + other + " and " + entry.index());
				}
			}
		}
		this.acknowledged.forEach((id, index) -> {
			if (!index.equals(indexById.get(id))) {
				throw new AssertionError("Proposal " + id + " was acknowledged at " + index + " but is lost");
			}
		});
		for (long id : this.refused) {
			if (indexById.containsKey(id)) {
				throw new AssertionError("Proposal " + id + " was refused but is at index " + indexById.get(id));
			}
		}
	}

}
