package io.fescuehold.core.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The members of an agreement group, the change in progress and the completed changes. A
 * membership takes effect when its entry is appended.
 *
 * @param members the members
 * @param pending the change in progress, or null
 * @param done the newest completed changes, oldest first
 */
public record Membership(List<Member> members, ChangeRecord pending, List<ChangeRecord> done) {

	/** The membership of a replica that does not know its group. */
	public static final Membership EMPTY = new Membership(List.of(), null, List.of());

	private static final int MAX_DONE_CHANGES = 256;

	/**
	 * Copies the lists.
	 */
	public Membership {
		members = List.copyOf(members);
		done = List.copyOf(done);
	}

	/**
	 * Finds a member.
	 * @param id the identity
	 * @return the member, or null
	 */
	public Member find(ReplicaId id) {
		return this.members.stream().filter((member) -> member.id().equals(id)).findFirst().orElse(null);
	}

	/**
	 * Finds a member by its host.
	 * @param hostId the host id
	 * @return the member, or null
	 */
	public Member findHost(String hostId) {
		return this.members.stream().filter((member) -> member.id().hostId().equals(hostId)).findFirst().orElse(null);
	}

	/**
	 * Returns whether an identity is a voter.
	 * @param id the identity
	 * @return whether it is a voter
	 */
	public boolean hasVoter(ReplicaId id) {
		Member member = find(id);
		return member != null && member.voter();
	}

	/**
	 * Returns the voters.
	 * @return the members that count for majorities
	 */
	public List<Member> voters() {
		return this.members.stream().filter(Member::voter).toList();
	}

	/**
	 * Returns the size of a majority.
	 * @return the smallest number of voters that is more than half of them
	 */
	public int majority() {
		return voters().size() / 2 + 1;
	}

	/**
	 * Returns the failure domains of the voters.
	 * @return the failure domains
	 */
	public Set<String> voterDomains() {
		Set<String> domains = new HashSet<>();
		voters().forEach((member) -> domains.add(member.failureDomain()));
		return domains;
	}

	/**
	 * Finds a completed change.
	 * @param requestId the request id
	 * @return the change, or null
	 */
	public ChangeRecord findDone(String requestId) {
		return this.done.stream()
			.filter((change) -> change.change().requestId().equals(requestId))
			.findFirst()
			.orElse(null);
	}

	Membership withMember(Member member) {
		List<Member> next = new ArrayList<>(this.members);
		next.removeIf((other) -> other.id().equals(member.id()));
		next.add(member);
		return new Membership(next, this.pending, this.done);
	}

	Membership withoutMember(ReplicaId id) {
		return new Membership(this.members.stream().filter((member) -> !member.id().equals(id)).toList(), this.pending,
				this.done);
	}

	Membership withPending(ChangeRecord change) {
		return new Membership(this.members, change, this.done);
	}

	Membership withDone(ChangeRecord change) {
		List<ChangeRecord> next = new ArrayList<>(this.done);
		next.add(change);
		return new Membership(this.members, null,
				next.subList(Math.max(0, next.size() - MAX_DONE_CHANGES), next.size()));
	}

}
