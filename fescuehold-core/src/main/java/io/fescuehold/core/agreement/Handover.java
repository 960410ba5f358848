package io.fescuehold.core.agreement;

/**
 * Planned transfer of the leadership. The leader refuses new requests, waits until a
 * voter has its whole log, asks it to start an election and steps down. It never leads
 * the same term again, because the successor's election ignores the lease.
 */
final class Handover {

	private final NodeContext context;

	private final Leadership leadership;

	private final Election election;

	private boolean active;

	private long deadlineMs;

	private long stalledSinceMs = Progress.NEVER_MS;

	private long stalledIndex;

	Handover(NodeContext context, Leadership leadership, Election election) {
		this.context = context;
		this.leadership = leadership;
		this.election = election;
	}

	boolean isActive() {
		return this.active;
	}

	void start() {
		if (this.context.isLeader() && !this.active) {
			this.active = true;
			this.deadlineMs = this.context.nowMs + this.context.timing().electionTimeoutMs();
		}
	}

	void stop() {
		this.active = false;
		this.stalledSinceMs = Progress.NEVER_MS;
	}

	/**
	 * Starts the hand-over if the leader's own disk makes no progress while a majority of
	 * the voters commits. Such a leader could accept only a limited number of further
	 * proposals.
	 */
	void tick() {
		long durableIndex = this.context.durability.durableIndex();
		if (durableIndex >= this.context.commitIndex) {
			this.stalledSinceMs = Progress.NEVER_MS;
		}
		else if (this.stalledSinceMs == Progress.NEVER_MS || durableIndex != this.stalledIndex) {
			this.stalledSinceMs = this.context.nowMs;
			this.stalledIndex = durableIndex;
		}
		else if (this.context.nowMs >= this.stalledSinceMs + this.context.timing().electionTimeoutMs()) {
			start();
		}
	}

	void advance() {
		if (!this.active) {
			return;
		}
		long last = this.context.log.lastIndex();
		if (this.context.commitIndex == last) {
			for (Member voter : this.context.membership().voters()) {
				boolean ready = !voter.id().equals(this.context.self) && this.leadership.isLive(voter.id())
						&& this.leadership.matchIndex(voter.id()) == last;
				if (ready) {
					this.context.send(voter.id(), new AgreementMessage.Handover(this.context.group(), this.context.self,
							voter.id(), this.context.term));
					this.election.becomeFollower(this.context.term, null);
					return;
				}
			}
		}
		if (this.context.nowMs >= this.deadlineMs) {
			this.active = false;
		}
	}

}
