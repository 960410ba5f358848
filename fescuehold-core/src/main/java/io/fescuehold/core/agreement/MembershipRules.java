package io.fescuehold.core.agreement;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a membership change leaves the group with a reachable majority and, where
 * possible, with voters in more than one failure domain.
 */
final class MembershipRules {

	private final NodeContext context;

	private final Leadership leadership;

	MembershipRules(NodeContext context, Leadership leadership) {
		this.context = context;
		this.leadership = leadership;
	}

	/**
	 * Finds the identity that a change removes. A host that returned with an empty disk
	 * replaces itself, so the identity that is added is never the one to remove.
	 * @param membership the membership
	 * @param change the command
	 * @param addId the identity that is added, or null
	 * @return the identity, or null
	 */
	ReplicaId resolveRemoved(Membership membership, MembershipChange change, ReplicaId addId) {
		if (change.removeHostId() == null) {
			return null;
		}
		return membership.members()
			.stream()
			.map(Member::id)
			.filter((id) -> id.hostId().equals(change.removeHostId()) && !id.equals(addId))
			.findFirst()
			.orElse(null);
	}

	/**
	 * Checks a change.
	 * @param current the membership in force
	 * @param membership the membership in force without the learner of an abandoned
	 * change
	 * @param change the command
	 * @param addId the identity that is added, or null
	 * @param removeId the identity that is removed, or null
	 * @return the result
	 */
	CheckResult check(Membership current, Membership membership, MembershipChange change, ReplicaId addId,
			ReplicaId removeId) {
		String refusal = checkHosts(current, membership, change, addId, removeId);
		if (refusal != null) {
			return CheckResult.refused(refusal);
		}
		Membership afterAdd = (addId != null) ? withVoter(membership, addId) : membership;
		Membership after = (removeId != null) ? afterAdd.withoutMember(removeId) : afterAdd;
		if (after.voters().isEmpty()) {
			return CheckResult.refused("no voter would be left; add another host first");
		}
		String domainRefusal = checkDomains(membership, after, addId, removeId);
		if (domainRefusal != null) {
			return CheckResult.refused(domainRefusal);
		}
		boolean survivable = hasLiveMajority(afterAdd, addId) && hasLiveMajority(after, addId);
		if (survivable) {
			return CheckResult.ACCEPTED;
		}
		long livenessKnownAtMs = this.leadership.electedAtMs() + this.context.timing().electionTimeoutMs();
		if (this.context.nowMs < livenessKnownAtMs) {
			return CheckResult.UNDECIDED;
		}
		return CheckResult.refused("only " + liveVoters(after, addId) + " of " + after.voters().size()
				+ " voters would be reachable, which is no majority; bring back or replace other hosts first");
	}

	boolean isPromotionSafe(Membership membership, ReplicaId addId) {
		return hasLiveMajority(withVoter(membership, addId), null);
	}

	boolean isRemovalSafe(Membership membership, ReplicaId removeId) {
		return hasLiveMajority(membership.withoutMember(removeId), null);
	}

	private String checkHosts(Membership current, Membership membership, MembershipChange change, ReplicaId addId,
			ReplicaId removeId) {
		boolean alreadyVoter = addId != null && membership.hasVoter(addId);
		boolean known = change.removeHostId() == null || current.findHost(change.removeHostId()) != null;
		if (!known && !alreadyVoter) {
			return "host \"" + change.removeHostId() + "\" is not a member; name one of " + hostIds(membership);
		}
		if (addId == null) {
			return null;
		}
		boolean addsOtherHost = removeId != null && !removeId.hostId().equals(addId.hostId());
		if (alreadyVoter && addsOtherHost) {
			return "host \"" + addId.hostId() + "\" is a voter already, so the group would shrink; add another host or"
					+ " remove \"" + change.removeHostId() + "\"";
		}
		boolean otherStore = membership.members()
			.stream()
			.map(Member::id)
			.anyMatch((id) -> id.hostId().equals(addId.hostId()) && !id.equals(addId) && !id.equals(removeId));
		if (otherStore) {
			return "host \"" + addId.hostId() + "\" is a member with another store; replace it instead";
		}
		return null;
	}

	private String checkDomains(Membership before, Membership after, ReplicaId addId, ReplicaId removeId) {
		boolean singleDomain = after.voters().size() > 1 && after.voterDomains().size() == 1;
		if (!singleDomain) {
			return null;
		}
		String domain = after.voterDomains().iterator().next();
		boolean removedIsLive = removeId != null && this.leadership.isLive(removeId);
		boolean avoidable = before.voterDomains().size() > 1 && removedIsLive;
		Set<String> hostsInOtherDomains = hostsInOtherDomains(before, domain, addId);
		if (avoidable || (removeId != null && !hostsInOtherDomains.isEmpty())) {
			return "all voters would be in failure domain \"" + domain + "\"; " + (hostsInOtherDomains.isEmpty()
					? "keep a host of another domain" : "use one of the hosts " + hostsInOtherDomains);
		}
		return null;
	}

	private Set<String> hostsInOtherDomains(Membership before, String domain, ReplicaId addId) {
		Set<String> hosts = new HashSet<>();
		for (Map.Entry<String, String> known : this.context.options.failureDomains().entrySet()) {
			boolean addedHost = addId != null && addId.hostId().equals(known.getKey());
			if (!known.getValue().equals(domain) && !addedHost && before.findHost(known.getKey()) == null) {
				hosts.add(known.getKey());
			}
		}
		return hosts;
	}

	private Membership withVoter(Membership membership, ReplicaId addId) {
		Member known = membership.find(addId);
		String domain = (known != null) ? known.failureDomain() : this.context.options.failureDomain(addId.hostId());
		return membership.withMember(new Member(addId, domain, true));
	}

	private boolean hasLiveMajority(Membership membership, ReplicaId assumedLive) {
		return liveVoters(membership, assumedLive) >= membership.majority();
	}

	private long liveVoters(Membership membership, ReplicaId assumedLive) {
		return membership.voters()
			.stream()
			.map(Member::id)
			.filter((id) -> id.equals(assumedLive) || this.leadership.isLive(id))
			.count();
	}

	private static List<String> hostIds(Membership membership) {
		return membership.members().stream().map((member) -> member.id().hostId()).sorted().toList();
	}

	/**
	 * The result of a check.
	 *
	 * @param undecided whether the leader must first wait for replies from its followers
	 * @param refusal the reason and remedy, or null
	 */
	record CheckResult(boolean undecided, String refusal) {

		static final CheckResult ACCEPTED = new CheckResult(false, null);

		static final CheckResult UNDECIDED = new CheckResult(true, null);

		static CheckResult refused(String refusal) {
			return new CheckResult(false, refusal);
		}

	}

}
