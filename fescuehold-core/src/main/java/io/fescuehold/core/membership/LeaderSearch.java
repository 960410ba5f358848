package io.fescuehold.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Selects the hosts that a daemon without a known leader asks next. Any live voter knows
 * the leader, so the possible voters, which are the seeds and the hosts with a store, are
 * asked concurrently, in an order that differs between daemons. Of the other hosts, whose
 * number grows with the fleet, one at a time is asked as well, because a restarted daemon
 * whose seeds were replaced cannot find the group otherwise. The time to find a leader
 * therefore depends on the number of lost voters and not on the number of daemons.
 */
public final class LeaderSearch {

	/**
	 * The number of possible voters that are asked concurrently. It exceeds the losses
	 * that a group of five or seven voters tolerates, so that at least one of them
	 * answers while the others time out.
	 */
	static final int MAX_VOTERS_IN_FLIGHT = 4;

	private final RandomGenerator random;

	private final RoundRobin voters;

	private final RoundRobin others;

	/**
	 * Creates a search.
	 * @param random the source of randomness for the order
	 */
	public LeaderSearch(RandomGenerator random) {
		this.random = random;
		this.voters = new RoundRobin(MAX_VOTERS_IN_FLIGHT);
		this.others = new RoundRobin(1);
	}

	/**
	 * Selects the hosts to ask now.
	 * @param possibleVoters the seeds and the hosts with a store
	 * @param otherHosts the other hosts that are known
	 * @param inFlight the hosts with a request in flight
	 * @return the hosts, none while enough requests are in flight
	 */
	public List<String> next(Collection<String> possibleVoters, Collection<String> otherHosts, Set<String> inFlight) {
		List<String> next = new ArrayList<>();
		this.voters.next(possibleVoters, inFlight, next);
		Set<String> rest = new LinkedHashSet<>(otherHosts);
		rest.removeAll(possibleVoters);
		this.others.next(rest, inFlight, next);
		return next;
	}

	/**
	 * Iterates over a changing set of hosts in shuffled rounds, with a limited number of
	 * requests in flight.
	 */
	private final class RoundRobin {

		private final int maxInFlight;

		private final List<String> remaining = new ArrayList<>();

		RoundRobin(int maxInFlight) {
			this.maxInFlight = maxInFlight;
		}

		void next(Collection<String> hostIds, Set<String> inFlight, List<String> next) {
			Set<String> available = new LinkedHashSet<>(hostIds);
			available.removeAll(inFlight);
			int free = this.maxInFlight - (hostIds.size() - available.size());
			this.remaining.retainAll(available);
			while (free > 0 && !available.isEmpty()) {
				if (this.remaining.isEmpty()) {
					this.remaining.addAll(available);
					Collections.shuffle(this.remaining, LeaderSearch.this.random);
				}
				String hostId = this.remaining.removeLast();
				available.remove(hostId);
				next.add(hostId);
				free--;
			}
		}

	}

}
