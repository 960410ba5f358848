package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.List;

import io.fescuehold.core.error.ErrorCode;

/**
 * Carries out membership changes at the leader, one entry at a time: add as learner,
 * catch up, promote, remove. The change in progress is part of the replicated membership.
 * Each entry is appended only after the previous one and an entry of the leader's own
 * term are committed.
 */
final class MembershipChanges {

	/** The time to wait for a probe reply, in election timeouts. */
	private static final int PROBE_TIMEOUT_FACTOR = 5;

	/**
	 * The largest lag at which a learner is promoted. At full load several hundred
	 * entries are in flight to a member at any time.
	 */
	private static final int MAX_PROMOTION_LAG_ENTRIES = 1_000;

	private final NodeContext context;

	private final Leadership leadership;

	private final Handover handover;

	private final MembershipRules rules;

	private final List<PendingCommand> pendingCommands = new ArrayList<>();

	private AgreementMessage.ProbeReply newestProbeReply;

	private long probedAtMs = Progress.NEVER_MS;

	MembershipChanges(NodeContext context, Leadership leadership, Handover handover) {
		this.context = context;
		this.leadership = leadership;
		this.handover = handover;
		this.rules = new MembershipRules(context, leadership);
	}

	void request(long commandId, MembershipChange change, boolean handingOver) {
		if (!this.context.isLeader() || handingOver) {
			this.context.emit(new Output.ChangeFailed(commandId, ErrorCode.NOT_LEADER, "this replica does not lead"));
			return;
		}
		this.pendingCommands.add(new PendingCommand(commandId, change));
	}

	void onProbeReply(AgreementMessage.ProbeReply reply) {
		if (this.context.isLeader()) {
			this.newestProbeReply = reply;
		}
	}

	void failAll() {
		for (PendingCommand command : this.pendingCommands) {
			this.context.emit(new Output.ChangeFailed(command.commandId, ErrorCode.OUTCOME_UNKNOWN,
					"the leadership changed; send the same change again"));
		}
		this.pendingCommands.clear();
		this.newestProbeReply = null;
	}

	/**
	 * Takes the next step if the previous one is committed.
	 */
	void advance() {
		boolean ready = this.context.isLeader() && !this.handover.isActive() && this.context.hasCommittedInTerm()
				&& this.context.log.membershipIndex() <= this.context.commitIndex;
		if (!ready) {
			return;
		}
		Membership membership = this.context.membership();
		this.pendingCommands.removeIf((command) -> completeIfDecided(membership, command));
		ChangeRecord pending = membership.pending();
		boolean replaceable = pending == null || isAbandoned(membership, pending);
		PendingCommand next = this.pendingCommands.stream()
			.filter((command) -> !isSameChange(command, pending) || pending.addId() != null)
			.findFirst()
			.orElse(null);
		if (replaceable && next != null) {
			beginChange(membership, next);
		}
		else if (pending != null) {
			continueChange(membership, pending);
		}
	}

	private boolean completeIfDecided(Membership membership, PendingCommand command) {
		ChangeRecord done = membership.findDone(command.change.requestId());
		ChangeRecord pending = membership.pending();
		ChangeRecord known = (done != null) ? done : pending;
		boolean reused = known != null && known.change().requestId().equals(command.change.requestId())
				&& !known.change().equals(command.change);
		if (reused) {
			refuse(command, "request id " + command.change.requestId() + " was used for " + known.change()
					+ "; use a new request id");
			return true;
		}
		if (done != null) {
			boolean newVoterDurable = done.addId() == null || membership.find(done.addId()) == null
					|| this.leadership.matchIndex(done.addId()) >= this.context.log.membershipIndex();
			if (newVoterDurable) {
				this.context.emit(new Output.ChangeDone(command.commandId));
			}
			return newVoterDurable;
		}
		boolean blocked = pending != null && !isSameChange(command, pending) && !isAbandoned(membership, pending);
		if (blocked) {
			refuse(command, "change " + pending.change().requestId()
					+ " is in progress; send the change again when it is done");
		}
		return blocked;
	}

	private void beginChange(Membership membership, PendingCommand command) {
		MembershipChange change = command.change;
		Membership base = membership;
		if (membership.pending() != null) {
			// An abandoned learner is dropped; a member that was already promoted stays
			// until a change removes it.
			ReplicaId abandoned = membership.pending().addId();
			base = membership.hasVoter(abandoned) ? membership : membership.withoutMember(abandoned);
			base = base.withPending(null);
		}
		ReplicaId addId = null;
		if (change.addHostId() != null) {
			AgreementMessage.ProbeReply reply = probeIdentity(command);
			if (reply == null) {
				return;
			}
			addId = reply.from();
			boolean unchanged = isSameChange(command, membership.pending())
					&& addId.equals(membership.pending().addId());
			if (unchanged) {
				// The host still has the store of the pending change, so that change goes
				// on. A later reply may carry another store id.
				this.newestProbeReply = null;
				command.probingSinceMs = this.context.nowMs;
				return;
			}
		}
		ReplicaId removeId = this.rules.resolveRemoved(base, change, addId);
		MembershipRules.CheckResult result = this.rules.check(membership, base, change, addId, removeId);
		if (result.undecided()) {
			return;
		}
		if (result.refusal() != null) {
			refuse(command, result.refusal());
			this.pendingCommands.remove(command);
			return;
		}
		ChangeRecord record = new ChangeRecord(change, addId, removeId);
		if (addId != null && base.find(addId) == null) {
			base = base.withMember(new Member(addId, this.newestProbeReply.failureDomain(), false));
		}
		append(base.withPending(record));
		this.newestProbeReply = null;
		command.probedAtMs = Progress.NEVER_MS;
	}

	private AgreementMessage.ProbeReply probeIdentity(PendingCommand command) {
		String hostId = command.change.addHostId();
		if (hostId.equals(this.context.self.hostId())) {
			return new AgreementMessage.ProbeReply(this.context.group(), this.context.self, this.context.self,
					this.context.options.failureDomain(hostId), false, null, null);
		}
		boolean answered = this.newestProbeReply != null && this.newestProbeReply.from().hostId().equals(hostId)
				&& command.probedAtMs != Progress.NEVER_MS;
		if (answered) {
			return this.newestProbeReply;
		}
		if (command.probedAtMs == Progress.NEVER_MS) {
			command.probingSinceMs = this.context.nowMs;
		}
		long timeoutMs = PROBE_TIMEOUT_FACTOR * this.context.timing().electionTimeoutMs();
		if (this.context.nowMs >= command.probingSinceMs + timeoutMs) {
			refuse(command, "host \"" + hostId + "\" does not answer; start its daemon and send the change again");
			this.pendingCommands.remove(command);
			return null;
		}
		if (this.context.nowMs >= this.probedAtMs + this.context.timing().heartbeatMs()
				|| command.probedAtMs == Progress.NEVER_MS) {
			this.newestProbeReply = null;
			this.probedAtMs = this.context.nowMs;
			command.probedAtMs = this.context.nowMs;
			this.context
				.emit(new Output.Send(hostId, new AgreementMessage.Probe(this.context.group(), this.context.self)));
		}
		return null;
	}

	private void continueChange(Membership membership, ChangeRecord pending) {
		ReplicaId addId = pending.addId();
		if (addId != null && !membership.hasVoter(addId)) {
			long lag = this.context.log.lastIndex() - this.leadership.matchIndex(addId);
			boolean caughtUp = this.leadership.isLive(addId) && lag <= MAX_PROMOTION_LAG_ENTRIES
					&& this.leadership.matchIndex(addId) >= this.context.log.membershipIndex();
			if (caughtUp && this.rules.isPromotionSafe(membership, addId)) {
				Member learner = membership.find(addId);
				append(membership.withMember(new Member(addId, learner.failureDomain(), true)));
			}
			return;
		}
		boolean newVoterDurable = addId == null
				|| this.leadership.matchIndex(addId) >= this.context.log.membershipIndex();
		if (!newVoterDurable) {
			return;
		}
		ReplicaId removeId = pending.removeId();
		if (removeId == null || membership.find(removeId) == null) {
			append(membership.withDone(pending));
		}
		else if (removeId.equals(this.context.self)) {
			this.handover.start();
		}
		else if (this.rules.isRemovalSafe(membership, removeId)) {
			append(membership.withoutMember(removeId).withDone(pending));
		}
	}

	/**
	 * Returns whether the member that a change adds does not respond or the removal is no
	 * longer safe, so that another change may replace this one.
	 * @param membership the membership
	 * @param pending the change in progress
	 * @return whether the change may be replaced
	 */
	private boolean isAbandoned(Membership membership, ChangeRecord pending) {
		ReplicaId addId = pending.addId();
		if (addId == null) {
			return !this.rules.isRemovalSafe(membership, pending.removeId());
		}
		long livenessKnownAtMs = this.leadership.electedAtMs() + this.context.timing().electionTimeoutMs();
		return this.context.nowMs > livenessKnownAtMs && !this.leadership.isLive(addId);
	}

	private static boolean isSameChange(PendingCommand command, ChangeRecord pending) {
		return pending != null && pending.change().equals(command.change);
	}

	private void append(Membership membership) {
		this.context.appendInCurrentTerm(EntryKind.MEMBERSHIP, MembershipCodec.encode(membership));
		this.leadership.updateMembers();
	}

	private void refuse(PendingCommand command, String reason) {
		this.context.emit(new Output.ChangeFailed(command.commandId, ErrorCode.MEMBERSHIP_REFUSED, reason));
	}

	/**
	 * A command whose outcome has not been reported yet.
	 */
	private static final class PendingCommand {

		private final long commandId;

		private final MembershipChange change;

		private long probingSinceMs;

		private long probedAtMs = Progress.NEVER_MS;

		private PendingCommand(long commandId, MembershipChange change) {
			this.commandId = commandId;
			this.change = change;
		}

	}

}
