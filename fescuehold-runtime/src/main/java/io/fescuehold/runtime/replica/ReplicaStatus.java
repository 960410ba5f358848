package io.fescuehold.runtime.replica;

import java.util.List;

import io.fescuehold.core.agreement.AgreementNode;
import io.fescuehold.core.agreement.Member;
import io.fescuehold.core.agreement.Membership;
import io.fescuehold.core.agreement.Role;

/**
 * The state of a replica as shown in dumps.
 *
 * @param hostId the own host id
 * @param storeId the id of the store
 * @param role the role
 * @param term the term
 * @param leaderHostId the host id of the leader, or null
 * @param lastIndex the index of the last log entry
 * @param commitIndex the index up to which entries are committed
 * @param appliedIndex the index up to which entries are applied
 * @param compactedIndex the index up to which entries are compacted into a snapshot
 * @param members the members
 * @param pendingChange the request id of the membership change in progress, or null
 * @param failure the error that stopped the replica, or null
 * @param phase whether the replica takes part in the group
 */
public record ReplicaStatus(String hostId, String storeId, Role role, long term, String leaderHostId, long lastIndex,
		long commitIndex, long appliedIndex, long compactedIndex, List<MemberStatus> members, String pendingChange,
		String failure, Phase phase) {

	private static final int MAX_FAILURE_LENGTH = 300;

	static ReplicaStatus of(AgreementNode node) {
		Membership membership = node.membership();
		List<MemberStatus> members = membership.members()
			.stream()
			.map((member) -> MemberStatus.of(member, node))
			.toList();
		String pending = (membership.pending() != null) ? membership.pending().change().requestId() : null;
		String leader = (node.leader() != null) ? node.leader().hostId() : null;
		return new ReplicaStatus(node.self().hostId(), node.self().storeId(), node.role(), node.term(), leader,
				node.lastIndex(), node.commitIndex(), node.appliedIndex(), node.compactedIndex(), members, pending,
				null, Phase.RUNNING);
	}

	static ReplicaStatus notStarted(String hostId) {
		return new ReplicaStatus(hostId, null, Role.FOLLOWER, 0, null, 0, 0, 0, 0, List.of(), null, null,
				Phase.STARTING);
	}

	ReplicaStatus withFailure(String reason) {
		String failureText = reason.substring(0, Math.min(reason.length(), MAX_FAILURE_LENGTH));
		return new ReplicaStatus(this.hostId, this.storeId, Role.FOLLOWER, this.term, null, this.lastIndex,
				this.commitIndex, this.appliedIndex, this.compactedIndex, this.members, this.pendingChange, failureText,
				Phase.STOPPED);
	}

	/**
	 * Describes the leader in error texts, so that a replica that has stopped differs
	 * from a running one that knows no leader.
	 * @return the host id of the leader, or "unknown" followed by the reason
	 */
	public String describeLeader() {
		return switch (this.phase) {
			case STARTING -> "unknown, and this replica is starting";
			case RUNNING -> (this.leaderHostId != null) ? this.leaderHostId : "unknown";
			case STOPPED -> "unknown, and this replica has stopped: " + this.failure;
		};
	}

	/**
	 * Whether a replica takes part in the group.
	 */
	public enum Phase {

		/** The store is being opened. */
		STARTING,

		/** The replica takes part. */
		RUNNING,

		/** An error has stopped the replica. */
		STOPPED

	}

	/**
	 * A member as shown in dumps.
	 *
	 * @param hostId the host id
	 * @param storeId the id of the store
	 * @param failureDomain the failure domain
	 * @param voter whether the member is a voter
	 * @param matchIndex the index up to which the member's log is known to be durable, 0
	 * unless this replica leads
	 */
	public record MemberStatus(String hostId, String storeId, String failureDomain, boolean voter, long matchIndex) {

		static MemberStatus of(Member member, AgreementNode node) {
			return new MemberStatus(member.id().hostId(), member.id().storeId(), member.failureDomain(), member.voter(),
					node.matchIndex(member.id()));
		}

	}

}
