package io.fescuehold.core.agreement;

import java.util.List;
import java.util.random.RandomGenerator;

import io.fescuehold.core.error.ErrorCode;

/**
 * One replica of an agreement group as a pure state machine: the Raft algorithm with
 * pre-votes, check-quorum, a leader lease and learners. Inputs change the state;
 * {@link #takeOutputs(long)} returns the actions that result from all inputs since the
 * last call, so that several inputs share one write and one message. Not thread-safe: all
 * calls must come from one thread. Times are in milliseconds of a monotonic clock that
 * keeps running while the process is suspended.
 */
public final class AgreementNode {

	/** Entries of at most the maximum log size divided by this stay before a snapshot. */
	private static final int KEPT_LOG_DIVISOR = 4;

	private final NodeContext context;

	private final Election election;

	private final Leadership leadership;

	private final LeaderReplication leaderReplication;

	private final FollowerReplication followerReplication;

	private final ReadRequests reads;

	private final PendingProposals proposals;

	private final Handover handover;

	private final MembershipChanges changes;

	private final Bootstrap bootstrap;

	private long requestedSnapshotIndex;

	/**
	 * Creates a replica.
	 * @param options the options
	 * @param stored the state read from the store
	 * @param random the source of random election timeouts
	 * @param nowMs the time
	 */
	public AgreementNode(AgreementOptions options, StoredState stored, RandomGenerator random, long nowMs) {
		this(options, stored, random, nowMs, nowMs);
	}

	/**
	 * Creates a replica of a process that has run for some time.
	 * @param options the options
	 * @param stored the state read from the store
	 * @param random the source of random election timeouts
	 * @param nowMs the time
	 * @param silentSinceMs a time since which this replica is known not to have
	 * acknowledged anything, for example the start of the process
	 */
	public AgreementNode(AgreementOptions options, StoredState stored, RandomGenerator random, long nowMs,
			long silentSinceMs) {
		this.context = new NodeContext(options, stored, random, nowMs);
		this.election = new Election(this.context, silentSinceMs, this::onElected, this::onSteppedDown);
		this.leadership = new Leadership(this.context);
		this.leaderReplication = new LeaderReplication(this.context, this.leadership);
		this.followerReplication = new FollowerReplication(this.context, this.election);
		this.reads = new ReadRequests(this.context, this.leadership);
		this.proposals = new PendingProposals(this.context, this.leadership);
		this.handover = new Handover(this.context, this.leadership, this.election);
		this.changes = new MembershipChanges(this.context, this.leadership, this.handover);
		this.bootstrap = new Bootstrap(this.context);
	}

	/**
	 * Fires due timers. Must be called at least once per heartbeat interval.
	 * @param nowMs the time
	 */
	public void tick(long nowMs) {
		advanceTime(nowMs);
		this.bootstrap.tick();
		this.election.tick();
		if (this.context.isLeader()) {
			this.leadership.dropRemovedMembers();
			this.handover.tick();
			if (this.leadership.hasLostQuorum()) {
				this.election.becomeFollower(this.context.term, null);
			}
		}
	}

	/**
	 * Handles a message. Messages to another identity or group are ignored.
	 * @param nowMs the time
	 * @param message the message
	 */
	public void receive(long nowMs, AgreementMessage message) {
		advanceTime(nowMs);
		if (!message.group().equals(this.context.group())) {
			return;
		}
		switch (message) {
			case AgreementMessage.Probe probe -> this.bootstrap.onProbe(probe);
			case AgreementMessage.ProbeReply reply -> {
				if (isForSelf(reply.to())) {
					this.bootstrap.onReply(reply);
					this.changes.onProbeReply(reply);
				}
			}
			case AgreementMessage.PreVoteRequest request -> {
				if (isForSelf(request.to())) {
					this.election.onPreVoteRequest(request);
				}
			}
			case AgreementMessage.PreVoteReply reply -> {
				if (isForSelf(reply.to())) {
					this.election.onPreVoteReply(reply);
				}
			}
			case AgreementMessage.VoteRequest request -> {
				if (isForSelf(request.to())) {
					this.election.onVoteRequest(request);
				}
			}
			case AgreementMessage.VoteReply reply -> {
				if (isForSelf(reply.to())) {
					this.election.onVoteReply(reply);
				}
			}
			case AgreementMessage.AppendRequest request -> {
				if (isForSelf(request.to())) {
					this.followerReplication.onAppend(request);
				}
			}
			case AgreementMessage.SnapshotChunk chunk -> {
				if (isForSelf(chunk.to())) {
					this.followerReplication.onChunk(chunk);
				}
			}
			case AgreementMessage.AppendReply reply -> {
				if (isForLeader(reply.to(), reply.term())) {
					this.leaderReplication.onReply(reply);
				}
			}
			case AgreementMessage.SnapshotReply reply -> {
				if (isForLeader(reply.to(), reply.term())) {
					this.leaderReplication.onSnapshotReply(reply);
				}
			}
			case AgreementMessage.Handover request -> {
				if (isForSelf(request.to())) {
					this.election.onHandover(request);
				}
			}
		}
	}

	/**
	 * Records that all writes up to a sequence number are durable.
	 * @param nowMs the time
	 * @param sequence the sequence number
	 */
	public void synced(long nowMs, long sequence) {
		advanceTime(nowMs);
		this.context.durability.synced(sequence);
		this.election.onSynced();
		this.context.sendDeferred();
		this.followerReplication.onSynced();
	}

	/**
	 * Proposes a command. The outcome is an {@link Output.Apply} or
	 * {@link Output.ProposalFailed} with the id.
	 * @param nowMs the time
	 * @param proposalId the id of the proposal, not 0
	 * @param command the command
	 */
	public void propose(long nowMs, long proposalId, byte[] command) {
		advanceTime(nowMs);
		this.proposals.propose(proposalId, command, this.handover.isActive());
	}

	/**
	 * Requests a linearisable read. The outcome is an {@link Output.ReadGranted} or
	 * {@link Output.ReadFailed} with the id.
	 * @param nowMs the time
	 * @param readId the id of the request
	 */
	public void read(long nowMs, long readId) {
		advanceTime(nowMs);
		this.reads.request(readId, this.handover.isActive());
	}

	/**
	 * Requests a membership change. The outcome is an {@link Output.ChangeDone} or
	 * {@link Output.ChangeFailed} with the id.
	 * @param nowMs the time
	 * @param commandId the id of the command
	 * @param change the change
	 */
	public void change(long nowMs, long commandId, MembershipChange change) {
		advanceTime(nowMs);
		this.changes.request(commandId, change, this.handover.isActive());
	}

	/**
	 * Hands the leadership over to another voter, if this replica leads.
	 * @param nowMs the time
	 */
	public void handOver(long nowMs) {
		advanceTime(nowMs);
		this.handover.start();
	}

	/**
	 * Records that a snapshot was saved.
	 * @param nowMs the time
	 * @param snapshot the description of the snapshot
	 */
	public void snapshotSaved(long nowMs, SnapshotMeta snapshot) {
		advanceTime(nowMs);
		this.requestedSnapshotIndex = 0;
		SnapshotMeta newest = this.context.log.snapshot();
		if (newest == null || snapshot.index() > newest.index()) {
			this.context.log.compact(snapshot, keepFromIndex(snapshot.index()));
		}
	}

	/**
	 * Records that a snapshot could not be saved.
	 * @param nowMs the time
	 */
	public void snapshotFailed(long nowMs) {
		advanceTime(nowMs);
		this.requestedSnapshotIndex = 0;
	}

	/**
	 * Takes a snapshot and keeps none of the entries before it, because the disk is full.
	 * @param nowMs the time
	 */
	public void compact(long nowMs) {
		advanceTime(nowMs);
		SnapshotMeta newest = this.context.log.snapshot();
		long snapshotIndex = (newest != null) ? newest.index() : 0;
		if (this.requestedSnapshotIndex == 0 && this.context.appliedIndex > snapshotIndex) {
			requestSnapshot(this.context.appliedIndex + 1);
		}
	}

	/**
	 * Completes the step and returns the outputs of all inputs since the last call.
	 * @param nowMs the time
	 * @return the outputs, to be carried out in order
	 */
	public List<Output> takeOutputs(long nowMs) {
		advanceTime(nowMs);
		if (this.context.isLeader()) {
			this.leaderReplication.advanceCommit();
		}
		this.proposals.applyCommitted();
		if (this.context.isLeader()) {
			this.changes.advance();
			this.reads.advance();
			this.handover.advance();
		}
		this.context.writeLog();
		if (this.context.isLeader()) {
			this.leaderReplication.sendAll();
		}
		requestSnapshot();
		return this.context.takeOutputs();
	}

	/**
	 * Returns the identity of this replica.
	 * @return the identity
	 */
	public ReplicaId self() {
		return this.context.self;
	}

	/**
	 * Returns the role.
	 * @return the role
	 */
	public Role role() {
		return this.context.role;
	}

	/**
	 * Returns the term.
	 * @return the term
	 */
	public long term() {
		return this.context.term;
	}

	/**
	 * Returns the leader known to this replica.
	 * @return the identity of the leader, or null
	 */
	public ReplicaId leader() {
		return this.context.leader;
	}

	/**
	 * Returns whether this replica leads under a valid lease.
	 * @param nowMs the time
	 * @return whether it may serve reads
	 */
	public boolean hasLease(long nowMs) {
		advanceTime(nowMs);
		return this.context.isLeader() && this.leadership.isLeaseValid();
	}

	/**
	 * Returns the newest membership in the log, which may not be committed yet.
	 * @return the membership, which is empty if this replica does not know its group
	 */
	public Membership membership() {
		return this.context.membership();
	}

	/**
	 * Returns the index of the last entry.
	 * @return the index
	 */
	public long lastIndex() {
		return this.context.log.lastIndex();
	}

	/**
	 * Returns the index up to which entries are known to be committed.
	 * @return the index
	 */
	public long commitIndex() {
		return this.context.commitIndex;
	}

	/**
	 * Returns the index up to which entries have been applied.
	 * @return the index
	 */
	public long appliedIndex() {
		return this.context.appliedIndex;
	}

	/**
	 * Returns the index up to which entries were compacted.
	 * @return the index, or 0
	 */
	public long compactedIndex() {
		return this.context.log.baseIndex();
	}

	/**
	 * Returns the index up to which another member's log is known to be durable.
	 * @param id the identity of the member
	 * @return the index, or 0 if this replica does not lead or has no reply from it
	 */
	public long matchIndex(ReplicaId id) {
		return this.context.isLeader() ? this.leadership.matchIndex(id) : 0;
	}

	private void requestSnapshot() {
		SnapshotMeta newest = this.context.log.snapshot();
		long snapshotIndex = (newest != null) ? newest.index() : 0;
		long applied = this.context.appliedIndex;
		boolean tooLarge = this.context.appliedBytes >= this.context.options.maxLogBytes();
		boolean due = tooLarge || applied - snapshotIndex >= this.context.timing().snapshotEveryEntries();
		if (due && this.requestedSnapshotIndex == 0) {
			requestSnapshot(keepFromIndex(applied));
		}
	}

	private void requestSnapshot(long keepFromIndex) {
		long applied = this.context.appliedIndex;
		this.requestedSnapshotIndex = applied;
		this.context.appliedBytes = 0;
		SnapshotMeta snapshot = new SnapshotMeta(applied, this.context.log.termAt(applied),
				MembershipCodec.encode(this.context.log.membershipAt(applied)));
		this.context.emit(new Output.TakeSnapshot(snapshot, keepFromIndex));
	}

	private long keepFromIndex(long snapshotIndex) {
		return this.context.log.firstIndexWithin(snapshotIndex, this.context.options.keepEntries(),
				this.context.options.maxLogBytes() / KEPT_LOG_DIVISOR);
	}

	private boolean isForSelf(ReplicaId to) {
		return this.context.self.equals(to);
	}

	/**
	 * Returns whether a reply is addressed to this replica as a leader. A reply with a
	 * newer term makes it a follower first.
	 * @param to the receiver
	 * @param term the term of the reply
	 * @return whether the leader handles the reply
	 */
	private boolean isForLeader(ReplicaId to, long term) {
		if (!isForSelf(to)) {
			return false;
		}
		if (term > this.context.term) {
			this.election.becomeFollower(term, null);
		}
		return this.context.isLeader();
	}

	private void advanceTime(long nowMs) {
		this.context.nowMs = Math.max(this.context.nowMs, nowMs);
	}

	private void onElected() {
		this.leadership.start();
		this.context.appendInCurrentTerm(EntryKind.NO_OP, new byte[0]);
	}

	private void onSteppedDown() {
		this.proposals.failAll();
		this.reads.failAll(ErrorCode.NOT_LEADER);
		this.changes.failAll();
		this.handover.stop();
		this.leadership.stop();
	}

}
