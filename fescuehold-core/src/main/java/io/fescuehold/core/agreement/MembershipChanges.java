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

	private static final int PROBE_TIMEOUT_FACTOR = 5;

	/** At full load several hundred entries are on their way to a member at any time. */
	private static final int CATCH_UP_ENTRIES = 1_000;

	private final NodeContext context;

	private final Leadership leadership;

	private final Handover handover;

	private final MembershipRules rules;

	private final List<Waiting> waiting = new ArrayList<>();

	private AgreementMessage.ProbeReply identity;

	private long probedMs = Progress.NEVER;

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
		this.waiting.add(new Waiting(commandId, change));
	}

	void onProbeReply(AgreementMessage.ProbeReply reply) {
		if (this.context.isLeader()) {
			this.identity = reply;
		}
	}

	void failAll() {
		for (Waiting command : this.waiting) {
			this.context.emit(new Output.ChangeFailed(command.commandId, ErrorCode.OUTCOME_UNKNOWN,
					"the leadership changed; send the same change again"));
		}
		this.waiting.clear();
		this.identity = null;
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
		this.waiting.removeIf((command) -> answerIfDecided(membership, command));
		ChangeRecord pending = membership.pending();
		boolean replaceable = pending == null || isAbandoned(membership, pending);
		Waiting next = this.waiting.stream()
			.filter((command) -> !isSame(command, pending) || pending.addId() != null)
			.findFirst()
			.orElse(null);
		if (replaceable && next != null) {
			begin(membership, next);
		}
		else if (pending != null) {
			step(membership, pending);
		}
	}

	private boolean answerIfDecided(Membership membership, Waiting command) {
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
			boolean synced = done.addId() == null || membership.find(done.addId()) == null
					|| this.leadership.matchIndex(done.addId()) >= this.context.log.membershipIndex();
			if (synced) {
				this.context.emit(new Output.ChangeDone(command.commandId));
			}
			return synced;
		}
		boolean blocked = pending != null && !isSame(command, pending) && !isAbandoned(membership, pending);
		if (blocked) {
			refuse(command, "change " + pending.change().requestId()
					+ " is in progress; send the change again when it is done");
		}
		return blocked;
	}

	private void begin(Membership membership, Waiting command) {
		MembershipChange change = command.change;
		Membership base = membership;
		if (membership.pending() != null) {
			// A member that was promoted already stays until a change removes it.
			ReplicaId abandoned = membership.pending().addId();
			base = membership.hasVoter(abandoned) ? membership : membership.withoutMember(abandoned);
			base = base.withPending(null);
		}
		ReplicaId addId = null;
		if (change.addHostId() != null) {
			AgreementMessage.ProbeReply answer = findIdentity(command);
			if (answer == null) {
				return;
			}
			addId = answer.from();
			boolean unchanged = isSame(command, membership.pending()) && addId.equals(membership.pending().addId());
			if (unchanged) {
				// The member is only silent; a later answer may name another store.
				this.identity = null;
				command.probingSinceMs = this.context.nowMs;
				return;
			}
		}
		ReplicaId removeId = this.rules.resolveRemoved(base, change, addId);
		MembershipRules.Verdict verdict = this.rules.check(membership, base, change, addId, removeId);
		if (verdict.waits()) {
			return;
		}
		if (verdict.refusal() != null) {
			refuse(command, verdict.refusal());
			this.waiting.remove(command);
			return;
		}
		ChangeRecord record = new ChangeRecord(change, addId, removeId);
		if (addId != null && base.find(addId) == null) {
			base = base.withMember(new Member(addId, this.identity.failureDomain(), false));
		}
		append(base.withPending(record));
		this.identity = null;
		command.probedMs = Progress.NEVER;
	}

	private AgreementMessage.ProbeReply findIdentity(Waiting command) {
		String hostId = command.change.addHostId();
		if (hostId.equals(this.context.self.hostId())) {
			return new AgreementMessage.ProbeReply(this.context.group(), this.context.self, this.context.self,
					this.context.options.failureDomain(hostId), false, null, null);
		}
		boolean answered = this.identity != null && this.identity.from().hostId().equals(hostId)
				&& command.probedMs != Progress.NEVER;
		if (answered) {
			return this.identity;
		}
		if (command.probedMs == Progress.NEVER) {
			command.probingSinceMs = this.context.nowMs;
		}
		long timeoutMs = PROBE_TIMEOUT_FACTOR * this.context.timing().electionTimeoutMs();
		if (this.context.nowMs >= command.probingSinceMs + timeoutMs) {
			refuse(command, "host \"" + hostId + "\" does not answer; start its daemon and send the change again");
			this.waiting.remove(command);
			return null;
		}
		if (this.context.nowMs >= this.probedMs + this.context.timing().heartbeatMs()
				|| command.probedMs == Progress.NEVER) {
			this.identity = null;
			this.probedMs = this.context.nowMs;
			command.probedMs = this.context.nowMs;
			this.context
				.emit(new Output.Send(hostId, new AgreementMessage.Probe(this.context.group(), this.context.self)));
		}
		return null;
	}

	private void step(Membership membership, ChangeRecord pending) {
		ReplicaId addId = pending.addId();
		if (addId != null && !membership.hasVoter(addId)) {
			long lag = this.context.log.lastIndex() - this.leadership.matchIndex(addId);
			boolean caughtUp = this.leadership.isLive(addId) && lag <= CATCH_UP_ENTRIES
					&& this.leadership.matchIndex(addId) >= this.context.log.membershipIndex();
			if (caughtUp && this.rules.isPromotionSafe(membership, addId)) {
				Member learner = membership.find(addId);
				append(membership.withMember(new Member(addId, learner.failureDomain(), true)));
			}
			return;
		}
		boolean synced = addId == null || this.leadership.matchIndex(addId) >= this.context.log.membershipIndex();
		if (!synced) {
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
	 * Returns whether the member that a change adds is silent or the removal is no longer
	 * safe, so that another change may take its place.
	 * @param membership the membership
	 * @param pending the change in progress
	 * @return whether the change may be replaced
	 */
	private boolean isAbandoned(Membership membership, ChangeRecord pending) {
		ReplicaId addId = pending.addId();
		if (addId == null) {
			return !this.rules.isRemovalSafe(membership, pending.removeId());
		}
		long settledMs = this.leadership.electedAtMs() + this.context.timing().electionTimeoutMs();
		return this.context.nowMs > settledMs && !this.leadership.isLive(addId);
	}

	private static boolean isSame(Waiting command, ChangeRecord pending) {
		return pending != null && pending.change().equals(command.change);
	}

	private void append(Membership membership) {
		this.context.appendOwn(EntryKind.MEMBERSHIP, MembershipCodec.encode(membership));
		this.leadership.followMembership();
	}

	private void refuse(Waiting command, String reason) {
		this.context.emit(new Output.ChangeFailed(command.commandId, ErrorCode.MEMBERSHIP_REFUSED, reason));
	}

	/**
	 * A command whose sender waits for the outcome.
	 */
	private static final class Waiting {

		private final long commandId;

		private final MembershipChange change;

		private long probingSinceMs;

		private long probedMs = Progress.NEVER;

		private Waiting(long commandId, MembershipChange change) {
			this.commandId = commandId;
			this.change = change;
		}

	}

}
