package io.fescuehold.core.agreement;

import java.util.HashSet;
import java.util.Set;

/**
 * Elections: election timer, pre-votes and votes. A replica that received a message from
 * a leader within the election timeout ignores candidates. This protects the leader's
 * lease and keeps a member with a broken link from deposing it.
 */
final class Election {

	/** The margin for clock drift is the lease divided by this. */
	private static final long CLOCK_DRIFT_DIVISOR = 10;

	private final NodeContext context;

	private final Runnable onElected;

	private final Runnable onSteppedDown;

	private final Set<ReplicaId> granted = new HashSet<>();

	private long leaderContactAtMs;

	private long deadlineMs;

	private long preVoteTerm;

	Election(NodeContext context, long silentSinceMs, Runnable onElected, Runnable onSteppedDown) {
		this.context = context;
		this.onElected = onElected;
		this.onSteppedDown = onSteppedDown;
		long timeoutMs = context.timing().electionTimeoutMs();
		if (silentSinceMs >= context.nowMs) {
			// A restarted replica may have acknowledged a leader's lease just before the
			// restart.
			this.leaderContactAtMs = (context.term > 0) ? context.nowMs : Progress.NEVER_MS;
			resetTimer();
			return;
		}
		// A lease acknowledged before silentSinceMs has expired one lease duration after
		// that time, plus a margin for clock drift.
		long leaseMs = context.timing().leaseMs();
		long leaseExpiresAtMs = silentSinceMs + leaseMs + leaseMs / CLOCK_DRIFT_DIVISOR;
		this.leaderContactAtMs = (context.term > 0) ? leaseExpiresAtMs - timeoutMs : Progress.NEVER_MS;
		this.deadlineMs = Math.max(context.nowMs, leaseExpiresAtMs)
				+ context.random.nextLong(Math.max(1, timeoutMs / 2));
	}

	void tick() {
		boolean ineligible = this.context.isLeader() || !this.context.isVoter();
		if (ineligible || this.context.nowMs < this.deadlineMs) {
			return;
		}
		startPreVote();
	}

	void onLeaderContact(ReplicaId leader) {
		this.context.leader = leader;
		this.leaderContactAtMs = this.context.nowMs;
		resetTimer();
	}

	/**
	 * Becomes a follower, in a new term if it is above the current one.
	 * @param term the term
	 * @param leader the leader, or null if unknown
	 */
	void becomeFollower(long term, ReplicaId leader) {
		boolean wasLeader = this.context.isLeader();
		if (term > this.context.term) {
			this.context.setTermAndVote(term, null);
		}
		this.context.role = Role.FOLLOWER;
		this.context.leader = leader;
		this.granted.clear();
		if (wasLeader) {
			resetTimer();
			this.onSteppedDown.run();
		}
	}

	void onPreVoteRequest(AgreementMessage.PreVoteRequest request) {
		if (!this.context.isMember()) {
			return;
		}
		boolean grant = request.term() > this.context.term && !isLeaderAlive()
				&& this.context.log.isUpToDate(request.lastIndex(), request.lastTerm());
		long term = grant ? request.term() : this.context.term;
		AgreementMessage reply = new AgreementMessage.PreVoteReply(this.context.group(), this.context.self,
				request.from(), term, grant);
		this.context.sendWhenVoteDurable(request.from(), reply);
	}

	void onPreVoteReply(AgreementMessage.PreVoteReply reply) {
		if (!reply.granted()) {
			if (reply.term() > this.context.term) {
				becomeFollower(reply.term(), null);
			}
			return;
		}
		if (this.context.role == Role.PRE_CANDIDATE && reply.term() == this.preVoteTerm) {
			this.granted.add(reply.from());
			if (hasMajority()) {
				startElection(false);
			}
		}
	}

	void onVoteRequest(AgreementMessage.VoteRequest request) {
		if (!this.context.isMember() || (!request.handover() && isLeaderAlive())) {
			return;
		}
		if (request.term() > this.context.term) {
			becomeFollower(request.term(), null);
		}
		boolean canVote = this.context.votedFor == null || this.context.votedFor.equals(request.from());
		boolean grant = request.term() == this.context.term && canVote
				&& this.context.log.isUpToDate(request.lastIndex(), request.lastTerm());
		if (grant) {
			this.context.role = Role.FOLLOWER;
			if (this.context.votedFor == null) {
				this.context.setTermAndVote(this.context.term, request.from());
			}
			resetTimer();
		}
		AgreementMessage reply = new AgreementMessage.VoteReply(this.context.group(), this.context.self, request.from(),
				this.context.term, grant);
		this.context.sendWhenVoteDurable(request.from(), reply);
	}

	void onVoteReply(AgreementMessage.VoteReply reply) {
		if (reply.term() > this.context.term) {
			becomeFollower(reply.term(), null);
			return;
		}
		if (this.context.role == Role.CANDIDATE && reply.term() == this.context.term && reply.granted()) {
			this.granted.add(reply.from());
			becomeLeaderIfMajority();
		}
	}

	void onHandover(AgreementMessage.Handover message) {
		if (message.term() == this.context.term && this.context.role != Role.LEADER && this.context.isVoter()) {
			startElection(true);
		}
	}

	/**
	 * Counts the own vote once it is durable.
	 */
	void onSynced() {
		boolean durable = this.context.durability.isSynced(this.context.durability.voteSequence());
		if (this.context.role == Role.CANDIDATE && durable) {
			this.granted.add(this.context.self);
			becomeLeaderIfMajority();
		}
	}

	private void startPreVote() {
		this.context.role = Role.PRE_CANDIDATE;
		this.context.leader = null;
		this.granted.clear();
		this.granted.add(this.context.self);
		this.preVoteTerm = this.context.term + 1;
		// Retries after about a heartbeat interval instead of an election timeout: a
		// pre-vote does not disturb a working leader, and after a crash of all processes
		// the other voters may not accept connections yet.
		long retryMs = this.context.timing().heartbeatMs();
		this.deadlineMs = this.context.nowMs + retryMs / 2 + this.context.random.nextLong(retryMs);
		if (hasMajority()) {
			startElection(false);
			return;
		}
		for (Member voter : this.context.membership().voters()) {
			if (!voter.id().equals(this.context.self)) {
				this.context.send(voter.id(),
						new AgreementMessage.PreVoteRequest(this.context.group(), this.context.self, voter.id(),
								this.preVoteTerm, this.context.log.lastIndex(), this.context.log.lastTerm()));
			}
		}
	}

	private void startElection(boolean byHandover) {
		this.context.role = Role.CANDIDATE;
		this.context.leader = null;
		this.granted.clear();
		this.context.setTermAndVote(this.context.term + 1, this.context.self);
		resetTimer();
		// The requests wait until the own vote is durable: a candidate that lost it in a
		// crash could otherwise lead the same term twice.
		for (Member voter : this.context.membership().voters()) {
			if (!voter.id().equals(this.context.self)) {
				AgreementMessage request = new AgreementMessage.VoteRequest(this.context.group(), this.context.self,
						voter.id(), this.context.term, this.context.log.lastIndex(), this.context.log.lastTerm(),
						byHandover);
				this.context.sendWhenVoteDurable(voter.id(), request);
			}
		}
	}

	private void becomeLeaderIfMajority() {
		if (hasMajority()) {
			this.context.role = Role.LEADER;
			this.context.leader = this.context.self;
			this.granted.clear();
			this.onElected.run();
		}
	}

	private boolean hasMajority() {
		long votes = this.context.membership()
			.voters()
			.stream()
			.filter((voter) -> this.granted.contains(voter.id()))
			.count();
		return votes >= this.context.membership().majority();
	}

	private boolean isLeaderAlive() {
		return this.context.isLeader()
				|| this.context.nowMs < this.leaderContactAtMs + this.context.timing().electionTimeoutMs();
	}

	private void resetTimer() {
		long timeoutMs = this.context.timing().electionTimeoutMs();
		this.deadlineMs = this.context.nowMs + timeoutMs + this.context.random.nextLong(timeoutMs);
	}

}
