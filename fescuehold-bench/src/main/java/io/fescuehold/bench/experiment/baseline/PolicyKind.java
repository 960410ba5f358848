package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

import io.fescuehold.bench.experiment.FakeServer;
import io.fescuehold.core.placement.BoundedLoadPlacement;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.placement.PlacementTuning;
import io.fescuehold.core.view.FleetView;

/**
 * The policies that the placement experiment compares.
 */
public enum PolicyKind {

	/** The policy of the router. */
	BOUNDED_LOAD,

	/** A random server. */
	RANDOM,

	/** The servers in turn. */
	ROUND_ROBIN,

	/** The server with the least reported load. */
	LEAST_LOADED,

	/** The less loaded of two random servers. */
	TWO_CHOICES,

	/** Rendezvous hashing. */
	RENDEZVOUS,

	/** Rendezvous hashing that skips servers above the load bound. */
	BOUNDED_HASH,

	/** Exact knowledge of all servers; prefers the cache within the load bound. */
	FULL_KNOWLEDGE,

	/** Exact knowledge of all servers; always chooses the least loaded server. */
	FULL_BALANCE;

	/**
	 * Returns the name as used on the command line.
	 * @return the name
	 */
	public String optionName() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Finds a kind by its name on the command line.
	 * @param name the name
	 * @return the kind
	 * @throws IllegalArgumentException if there is no such kind
	 */
	public static PolicyKind of(String name) {
		return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
	}

	/**
	 * Returns whether all routers share one instance of the policy.
	 * @return whether the policy is shared
	 */
	public boolean isShared() {
		return this == FULL_KNOWLEDGE || this == FULL_BALANCE;
	}

	/**
	 * Creates the policy of a router.
	 * @param router the index of the router, from 0
	 * @param routers the number of routers
	 * @param servers the servers; the policies with exact knowledge read their state
	 * @param newestView the newest configuration, for the policies with exact knowledge
	 * @param tuning the constants of {@link BoundedLoadPlacement}
	 * @param seed the random seed
	 * @return the policy
	 */
	public PlacementPolicy create(int router, int routers, List<FakeServer> servers, Supplier<FleetView> newestView,
			PlacementTuning tuning, long seed) {
		return switch (this) {
			case BOUNDED_LOAD -> new BoundedLoadPlacement("r" + router, () -> routers, seed, tuning);
			case RANDOM -> new RandomPolicy(seed * routers + router);
			case ROUND_ROBIN -> new RoundRobinPolicy(router * servers.size() / routers);
			case LEAST_LOADED -> new LeastLoadedPolicy();
			case TWO_CHOICES -> new TwoChoicesPolicy(seed * routers + router);
			case RENDEZVOUS -> new HashPolicy(false);
			case BOUNDED_HASH -> new HashPolicy(true);
			case FULL_KNOWLEDGE -> new FullKnowledgePolicy(servers, newestView, true);
			case FULL_BALANCE -> new FullKnowledgePolicy(servers, newestView, false);
		};
	}

}
