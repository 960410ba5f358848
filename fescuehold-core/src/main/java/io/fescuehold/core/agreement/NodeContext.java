package io.fescuehold.core.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * State shared by the components of a replica, and the outputs collected in the current
 * step.
 */
final class NodeContext {

	final AgreementOptions options;

	final ReplicaId self;

	final AgreementLog log;

	final DurabilityTracker durability;

	final RandomGenerator random;

	long nowMs;

	long term;

	ReplicaId votedFor;

	Role role = Role.FOLLOWER;

	ReplicaId leader;

	/** Whether the group lists this replica although its own log is empty. */
	boolean listedByGroup;

	long commitIndex;

	long appliedIndex;

	/** The size of the entries applied since the last snapshot. */
	long appliedBytes;

	private final Deque<DeferredMessage> deferred = new ArrayDeque<>();

	private List<Output> outputs = new ArrayList<>();

	NodeContext(AgreementOptions options, StoredState stored, RandomGenerator random, long nowMs) {
		this.options = options;
		this.self = options.self();
		this.log = new AgreementLog(stored);
		this.durability = new DurabilityTracker(this.log.lastIndex());
		this.random = random;
		this.nowMs = nowMs;
		this.term = stored.hardState().term();
		this.votedFor = stored.hardState().votedFor();
		this.commitIndex = this.log.baseIndex();
		this.appliedIndex = this.log.baseIndex();
	}

	String group() {
		return this.options.group();
	}

	AgreementTiming timing() {
		return this.options.timing();
	}

	Membership membership() {
		return this.log.membership();
	}

	boolean isMember() {
		boolean logEmpty = this.log.isEmpty();
		return (logEmpty && this.listedByGroup) || membership().find(this.self) != null;
	}

	boolean isVoter() {
		return membership().hasVoter(this.self);
	}

	boolean isLeader() {
		return this.role == Role.LEADER;
	}

	/**
	 * Returns whether the leader has committed an entry of its own term. From then on its
	 * commit index covers everything committed by earlier leaders.
	 * @return whether such an entry is committed
	 */
	boolean hasCommittedInTerm() {
		return this.log.termAt(this.commitIndex) == this.term;
	}

	void emit(Output output) {
		this.outputs.add(output);
	}

	void send(ReplicaId to, AgreementMessage message) {
		this.outputs.add(new Output.Send(to.hostId(), message));
	}

	/**
	 * Sends a message of the current term once that term and vote are durable. It is
	 * dropped if the term changes in the meantime.
	 * @param to the receiver
	 * @param message the message
	 */
	void sendWhenVoteDurable(ReplicaId to, AgreementMessage message) {
		long sequence = this.durability.voteSequence();
		if (this.durability.isSynced(sequence)) {
			send(to, message);
		}
		else {
			this.deferred.add(new DeferredMessage(sequence, this.term, new Output.Send(to.hostId(), message)));
		}
	}

	void sendDeferred() {
		while (!this.deferred.isEmpty() && this.durability.isSynced(this.deferred.peek().sequence())) {
			DeferredMessage message = this.deferred.poll();
			if (message.term() == this.term) {
				emit(message.send());
			}
		}
	}

	void setTermAndVote(long newTerm, ReplicaId vote) {
		this.term = newTerm;
		this.votedFor = vote;
		emit(new Output.SaveVote(this.durability.nextVoteWrite(), new HardState(newTerm, vote)));
	}

	LogEntry appendInCurrentTerm(EntryKind kind, byte[] data) {
		LogEntry entry = new LogEntry(this.log.lastIndex() + 1, this.term, kind, data);
		this.log.append(entry);
		return entry;
	}

	void truncateLog(long fromIndex) {
		if (fromIndex <= this.commitIndex) {
			throw new IllegalStateException("Entry " + fromIndex + " is committed and must not be overwritten");
		}
		this.log.truncateFrom(fromIndex);
		this.durability.truncateFrom(fromIndex);
	}

	/**
	 * Emits one write for all entries appended since the last one.
	 */
	void writeLog() {
		long from = this.durability.unwrittenFrom();
		long last = this.log.lastIndex();
		if (from <= last) {
			List<LogEntry> entries = this.log.slice(from, last, Long.MAX_VALUE);
			emit(new Output.Append(this.durability.nextLogWrite(last), from, entries));
		}
	}

	List<Output> takeOutputs() {
		List<Output> taken = this.outputs;
		this.outputs = new ArrayList<>();
		return taken;
	}

	/**
	 * A message that is sent after a write has been synced.
	 *
	 * @param sequence the sequence number of the write that must be synced
	 * @param term the term of the message
	 * @param send the output
	 */
	private record DeferredMessage(long sequence, long term, Output.Send send) {
	}

}
