package io.fescuehold.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.fescuehold.core.agreement.MembershipChange;

/**
 * Selects the voters of the group among the hosts with a disk. A group of 2f + 1 voters
 * survives the loss of f of them; the voters are spread over the failure domains. A host
 * that returned with an empty store replaces itself, and a host that is absent or whose
 * replica has stopped is replaced by a live one.
 */
public final class VoterPlan {

	private final int targetVoters;

	private final long replaceAfterMs;

	private final Map<String, Long> absentSinceMs = new HashMap<>();

	/**
	 * Creates a plan.
	 * @param toleratedLosses the number of hosts that may be lost at the same time
	 * @param replaceAfterMs the absence in milliseconds after which a voter is replaced
	 * by another host
	 */
	public VoterPlan(int toleratedLosses, long replaceAfterMs) {
		this.targetVoters = 2 * Math.max(0, toleratedLosses) + 1;
		this.replaceAfterMs = replaceAfterMs;
	}

	/**
	 * Chooses the hosts that form the group.
	 * @param hosts the hosts that are known
	 * @return the host ids of the first voters, none if no host has a store
	 */
	public List<String> initialVoters(List<HostRecord> hosts) {
		List<HostRecord> hostsWithStore = hosts.stream().filter(HostRecord::hasStore).toList();
		int size = Math.min(this.targetVoters, hostsWithStore.size());
		// An even group survives no more losses than the next smaller odd one.
		size -= (size > 0 && size % 2 == 0) ? 1 : 0;
		List<String> chosen = new ArrayList<>();
		Map<String, Integer> votersByDomain = new HashMap<>();
		List<HostRecord> candidates = new ArrayList<>(hostsWithStore);
		while (chosen.size() < size) {
			HostRecord next = candidates.stream()
				.min(Comparator.comparingInt((HostRecord host) -> votersByDomain.getOrDefault(host.failureDomain(), 0))
					.thenComparing(HostRecord::hostId))
				.orElseThrow();
			candidates.remove(next);
			chosen.add(next.hostId());
			votersByDomain.merge(next.failureDomain(), 1, Integer::sum);
		}
		return chosen;
	}

	/**
	 * Chooses the hosts that form the group when the first choice was lost together with
	 * the host that made it. An existing group is never formed again: no reporting host
	 * may belong to a group, and there must be enough of them to include a majority of
	 * any group that could have been formed before.
	 * @param hosts the hosts that are known
	 * @return the host ids of the first voters, none if a group may exist
	 */
	public List<String> initialVotersAfterLostChoice(List<HostRecord> hosts) {
		boolean mayExist = hosts.stream().anyMatch(HostRecord::isFormed);
		List<String> chosen = mayExist ? List.of() : initialVoters(hosts);
		return (chosen.size() == this.targetVoters) ? chosen : List.of();
	}

	/**
	 * Determines the next change of the voters.
	 * @param members the voters
	 * @param live the daemons that are alive
	 * @param nowMs the time in milliseconds
	 * @return the change, or null if none is due
	 */
	public MembershipChange next(List<Voter> members, List<HostRecord> live, long nowMs) {
		Map<String, HostRecord> liveById = new HashMap<>();
		live.forEach((host) -> liveById.put(host.hostId(), host));
		Set<String> voterIds = new HashSet<>();
		members.forEach((voter) -> voterIds.add(voter.hostId()));
		for (Voter voter : members) {
			HostRecord host = liveById.get(voter.hostId());
			if (host != null && host.isFormed() && !host.storeId().equals(voter.storeId())) {
				return replace(voter, host);
			}
		}
		trackAbsence(members, liveById, nowMs);
		for (Voter voter : members) {
			Long since = this.absentSinceMs.get(voter.hostId());
			if (since != null && nowMs - since >= this.replaceAfterMs) {
				HostRecord replacement = findCandidate(members, voter, live, voterIds);
				if (replacement != null) {
					return replace(voter, replacement);
				}
			}
		}
		if (members.size() < this.targetVoters) {
			return grow(members, live, voterIds);
		}
		return null;
	}

	private MembershipChange grow(List<Voter> members, List<HostRecord> live, Set<String> voterIds) {
		long spareHosts = live.stream().filter((host) -> host.isFormed() && !voterIds.contains(host.hostId())).count();
		boolean canReachOdd = members.size() % 2 == 0 || spareHosts >= 2;
		HostRecord next = canReachOdd ? findCandidate(members, null, live, voterIds) : null;
		return (next != null) ? MembershipChange.add("add-" + next.hostId() + "-" + next.storeId(), next.hostId())
				: null;
	}

	private void trackAbsence(List<Voter> members, Map<String, HostRecord> liveById, long nowMs) {
		Set<String> absent = new HashSet<>();
		for (Voter voter : members) {
			HostRecord host = liveById.get(voter.hostId());
			if (host == null || !host.hasStore()) {
				absent.add(voter.hostId());
				this.absentSinceMs.putIfAbsent(voter.hostId(), nowMs);
			}
		}
		this.absentSinceMs.keySet().retainAll(absent);
	}

	// Finds a live, non-draining host to add, in the failure domain with the fewest
	// voters.
	private static HostRecord findCandidate(List<Voter> members, Voter leaving, List<HostRecord> live,
			Set<String> voterIds) {
		Map<String, Integer> votersByDomain = new HashMap<>();
		members.stream()
			.filter((voter) -> !voter.equals(leaving))
			.forEach((voter) -> votersByDomain.merge(voter.failureDomain(), 1, Integer::sum));
		return live.stream()
			.filter((host) -> host.isFormed() && !voterIds.contains(host.hostId())
					&& host.state() != HostState.DRAINING)
			.min(Comparator.comparingInt((HostRecord host) -> votersByDomain.getOrDefault(host.failureDomain(), 0))
				.thenComparing(HostRecord::hostId))
			.orElse(null);
	}

	private static MembershipChange replace(Voter lost, HostRecord host) {
		return MembershipChange.replace(
				"replace-" + lost.hostId() + "-" + lost.storeId() + "-by-" + host.hostId() + "-" + host.storeId(),
				lost.hostId(), host.hostId());
	}

	/**
	 * A voter of the group.
	 *
	 * @param hostId the host id
	 * @param storeId the id of its store
	 * @param failureDomain its failure domain
	 */
	public record Voter(String hostId, String storeId, String failureDomain) {

	}

}
