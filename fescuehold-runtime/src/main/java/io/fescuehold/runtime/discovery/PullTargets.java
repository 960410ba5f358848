package io.fescuehold.runtime.discovery;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.fescuehold.core.membership.HostRecord;
import io.fescuehold.core.membership.HostTable;
import io.fescuehold.core.membership.LeaderSearch;

/**
 * The hosts to which this daemon sends pulls, with at most one pull pending at each. Not
 * thread-safe: confined to one thread.
 */
final class PullTargets {

	private final String ownHostId;

	private final HostTable hosts;

	private final LeaderSearch search;

	private final List<String> seeds = new ArrayList<>();

	/** The hosts whose reply to a pull is pending. */
	private final Set<String> pending = new HashSet<>();

	PullTargets(String ownHostId, HostTable hosts, RandomGenerator random) {
		this.ownHostId = ownHostId;
		this.hosts = hosts;
		this.search = new LeaderSearch(random);
	}

	void setSeeds(List<String> hostIds) {
		this.seeds.clear();
		this.seeds.addAll(hostIds);
	}

	/**
	 * Selects the hosts to ask while no leader is known.
	 * @return the host ids, none while enough pulls are pending
	 */
	List<String> next() {
		return this.search.next(possibleVoters(), otherHostIds(this.hosts.hosts()), Set.copyOf(this.pending));
	}

	private Set<String> possibleVoters() {
		Set<String> hostIds = new LinkedHashSet<>(this.seeds);
		hostIds.addAll(otherHostIds(this.hosts.hosts().stream().filter(HostRecord::hasStore).toList()));
		hostIds.remove(this.ownHostId);
		return hostIds.isEmpty() ? Set.of(this.ownHostId) : hostIds;
	}

	private List<String> otherHostIds(List<HostRecord> records) {
		return records.stream().map(HostRecord::hostId).filter((hostId) -> !hostId.equals(this.ownHostId)).toList();
	}

	boolean isPending(String hostId) {
		return this.pending.contains(hostId);
	}

	void begin(String hostId) {
		this.pending.add(hostId);
	}

	void end(String hostId) {
		this.pending.remove(hostId);
	}

}
