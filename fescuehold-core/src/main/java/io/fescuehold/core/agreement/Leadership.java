package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The leader's lease and its progress table. The lease counts from the time at which the
 * leader sent the requests that a majority has acknowledged, so delayed replies cannot
 * extend it.
 */
final class Leadership {

	private final NodeContext context;

	private final Map<ReplicaId, Progress> progress = new LinkedHashMap<>();

	private long electedAtMs;

	private boolean leaseHeld;

	Leadership(NodeContext context) {
		this.context = context;
	}

	void start() {
		this.progress.clear();
		this.electedAtMs = this.context.nowMs;
		this.leaseHeld = false;
		followMembership();
	}

	void stop() {
		this.progress.clear();
	}

	/**
	 * Adapts the table to the newest membership. A removed member stays for a while so
	 * that it learns of its removal.
	 */
	void followMembership() {
		Membership membership = this.context.membership();
		for (Member member : membership.members()) {
			if (!member.id().equals(this.context.self)) {
				Progress known = this.progress.computeIfAbsent(member.id(),
						(id) -> new Progress(id, this.context.log.lastIndex() + 1));
				known.removedMs = Progress.NEVER;
			}
		}
		for (Progress known : this.progress.values()) {
			if (known.removedMs == Progress.NEVER && membership.find(known.id) == null) {
				known.removedMs = this.context.nowMs;
			}
		}
	}

	void forgetRemoved() {
		long retentionMs = 2 * this.context.timing().electionTimeoutMs();
		this.progress.values()
			.removeIf(
					(known) -> known.removedMs != Progress.NEVER && this.context.nowMs - known.removedMs > retentionMs);
	}

	Collection<Progress> all() {
		return this.progress.values();
	}

	Progress of(ReplicaId id) {
		return this.progress.get(id);
	}

	long electedAtMs() {
		return this.electedAtMs;
	}

	/**
	 * Returns the durable index of a member, where the leader's own log counts too.
	 * @param id the identity
	 * @return the index
	 */
	long matchIndex(ReplicaId id) {
		if (id.equals(this.context.self)) {
			return this.context.durable.durableIndex();
		}
		Progress known = this.progress.get(id);
		return (known != null) ? known.matchIndex : 0;
	}

	/**
	 * Returns the highest index that is durable on a majority of the voters.
	 * @return the index
	 */
	long majorityIndex() {
		return majorityOf(this::matchIndex);
	}

	boolean isLeaseValid() {
		long acked = majorityOf(this::ackedMs);
		boolean valid = acked != Progress.NEVER && this.context.nowMs < acked + this.context.timing().leaseMs();
		this.leaseHeld |= valid;
		return valid;
	}

	/**
	 * Returns whether proposals are accepted: while the lease is valid, and before the
	 * first lease for as long as a lease lasts.
	 * @return whether proposals are accepted
	 */
	boolean acceptsProposals() {
		return isLeaseValid()
				|| (!this.leaseHeld && this.context.nowMs < this.electedAtMs + this.context.timing().leaseMs());
	}

	boolean isBeforeFirstLease() {
		return !this.leaseHeld && this.context.nowMs < this.electedAtMs + this.context.timing().electionTimeoutMs();
	}

	boolean hasLostQuorum() {
		long acked = Math.max(majorityOf(this::ackedMs), this.electedAtMs);
		return this.context.nowMs >= acked + this.context.timing().electionTimeoutMs();
	}

	boolean isLive(ReplicaId id) {
		return ackedMs(id) > this.context.nowMs - this.context.timing().electionTimeoutMs();
	}

	private long ackedMs(ReplicaId id) {
		if (id.equals(this.context.self)) {
			return this.context.nowMs;
		}
		Progress known = this.progress.get(id);
		return (known != null) ? known.ackedSentAtMs : Progress.NEVER;
	}

	private long majorityOf(ToLongFunction<ReplicaId> value) {
		List<Long> values = new ArrayList<>();
		for (Member voter : this.context.membership().voters()) {
			values.add(value.applyAsLong(voter.id()));
		}
		if (values.isEmpty()) {
			return Progress.NEVER;
		}
		values.sort(null);
		return values.get(values.size() - this.context.membership().majority());
	}

}
