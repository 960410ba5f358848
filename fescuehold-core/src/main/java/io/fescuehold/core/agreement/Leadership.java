package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * State of the current leader: its lease and the replication progress of the members. The
 * lease counts from the time at which the leader sent the requests that a majority has
 * acknowledged, so delayed replies cannot extend it.
 */
final class Leadership {

	private final NodeContext context;

	private final Map<ReplicaId, Progress> progressById = new LinkedHashMap<>();

	private long electedAtMs;

	private boolean leaseHeld;

	Leadership(NodeContext context) {
		this.context = context;
	}

	void start() {
		this.progressById.clear();
		this.electedAtMs = this.context.nowMs;
		this.leaseHeld = false;
		updateMembers();
	}

	void stop() {
		this.progressById.clear();
	}

	/**
	 * Updates the progress table from the newest membership. A removed member is kept for
	 * two election timeouts so that it receives its removal.
	 */
	void updateMembers() {
		Membership membership = this.context.membership();
		for (Member member : membership.members()) {
			if (!member.id().equals(this.context.self)) {
				Progress progress = this.progressById.computeIfAbsent(member.id(),
						(id) -> new Progress(id, this.context.log.lastIndex() + 1));
				progress.removedAtMs = Progress.NEVER_MS;
			}
		}
		for (Progress progress : this.progressById.values()) {
			if (progress.removedAtMs == Progress.NEVER_MS && membership.find(progress.id) == null) {
				progress.removedAtMs = this.context.nowMs;
			}
		}
	}

	void dropRemovedMembers() {
		long retentionMs = 2 * this.context.timing().electionTimeoutMs();
		this.progressById.values()
			.removeIf((progress) -> progress.removedAtMs != Progress.NEVER_MS
					&& this.context.nowMs - progress.removedAtMs > retentionMs);
	}

	Collection<Progress> allProgress() {
		return this.progressById.values();
	}

	Progress progressOf(ReplicaId id) {
		return this.progressById.get(id);
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
			return this.context.durability.durableIndex();
		}
		Progress progress = this.progressById.get(id);
		return (progress != null) ? progress.matchIndex : 0;
	}

	/**
	 * Returns the highest index that is durable on a majority of the voters.
	 * @return the index
	 */
	long majorityIndex() {
		return majorityOf(this::matchIndex);
	}

	boolean isLeaseValid() {
		long majorityAckedAtMs = majorityOf(this::ackedSentAtMs);
		boolean valid = majorityAckedAtMs != Progress.NEVER_MS
				&& this.context.nowMs < majorityAckedAtMs + this.context.timing().leaseMs();
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
		long lastContactAtMs = Math.max(majorityOf(this::ackedSentAtMs), this.electedAtMs);
		return this.context.nowMs >= lastContactAtMs + this.context.timing().electionTimeoutMs();
	}

	boolean isLive(ReplicaId id) {
		return ackedSentAtMs(id) > this.context.nowMs - this.context.timing().electionTimeoutMs();
	}

	private long ackedSentAtMs(ReplicaId id) {
		if (id.equals(this.context.self)) {
			return this.context.nowMs;
		}
		Progress progress = this.progressById.get(id);
		return (progress != null) ? progress.ackedSentAtMs : Progress.NEVER_MS;
	}

	private long majorityOf(ToLongFunction<ReplicaId> value) {
		List<Long> values = new ArrayList<>();
		for (Member voter : this.context.membership().voters()) {
			values.add(value.applyAsLong(voter.id()));
		}
		if (values.isEmpty()) {
			return Progress.NEVER_MS;
		}
		values.sort(null);
		return values.get(values.size() - this.context.membership().majority());
	}

}
