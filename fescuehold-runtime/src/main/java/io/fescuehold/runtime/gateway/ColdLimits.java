package io.fescuehold.runtime.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.fescuehold.core.limits.ColdBudget;
import io.fescuehold.core.limits.ServingPolicy;
import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.prompt.PromptPart;
import io.fescuehold.core.servers.ServerState;

/**
 * Keeps the requests of this daemon to cold servers within its share of their limit. Off
 * for services without a limit on cold servers, and where the operators name no bound.
 * Not thread-safe: confined to one thread.
 */
final class ColdLimits {

	private final GatewayBelief belief;

	private final ServingPolicy policy;

	private final GatewayMetrics metrics;

	ColdLimits(GatewayBelief belief, ServingPolicy policy, GatewayMetrics metrics) {
		this.belief = belief;
		this.policy = policy;
		this.metrics = metrics;
	}

	private ColdBudget budget(String service) {
		return ColdBudget.of(this.belief.coldStart(service), this.policy);
	}

	/**
	 * Returns whether a server may be cold.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return whether it is cold as far as this daemon knows
	 */
	boolean isCold(ServerState server, long nowMs) {
		return this.belief.coldServers()
			.isCold(server.server(), this.belief.coldStart(server.server().service()), nowMs);
	}

	private boolean hasRoom(ServerState server, ColdBudget budget, long nowMs) {
		return this.belief.coldShares().hasRoom(server.server().id(), budget, this.belief.ageMs(), nowMs);
	}

	/**
	 * Returns the servers to which this daemon may send a request.
	 * @param service the service
	 * @param servers the servers
	 * @param nowMs the time in milliseconds
	 * @return the warm ones and the cold ones whose share is not used up
	 */
	List<ServerState> withRoom(String service, List<ServerState> servers, long nowMs) {
		ColdBudget budget = budget(service);
		if (budget == null) {
			return servers;
		}
		return servers.stream().filter((server) -> !isCold(server, nowMs) || hasRoom(server, budget, nowMs)).toList();
	}

	/**
	 * Returns the servers among which a request is placed. While warm servers have free
	 * slots, a cold server gets only the prompts whose shared parts it is to hold, so
	 * that these are the first that it reads.
	 * @param request the request
	 * @param withRoom the servers that take the request, at least one
	 * @param all the servers before limits
	 * @param nowMs the time in milliseconds
	 * @return some or all of the servers with room
	 */
	List<ServerState> preferred(GatewayRequest request, List<ServerState> withRoom, List<ServerState> all, long nowMs) {
		if (request.head().prompt() == null || budget(request.service()) == null) {
			return withRoom;
		}
		List<ServerState> warm = withRoom.stream().filter((server) -> !isCold(server, nowMs)).toList();
		ServerState home = home(request.head().prompt().subject(), all);
		if (home != null && isCold(home, nowMs) && !withRoom.contains(home)) {
			this.metrics.coldHeld(request.service());
		}
		if (warm.size() == withRoom.size()
				|| warm.stream().noneMatch((server) -> server.load() < server.server().slots())) {
			return withRoom;
		}
		return withRoom.stream().filter((server) -> server == home || warm.contains(server)).toList();
	}

	private static ServerState home(PromptPart subject, List<ServerState> servers) {
		if (subject == null) {
			return null;
		}
		long partHash = RendezvousHash.hash(subject.id());
		return servers.stream()
			.min(Comparator.comparingDouble(
					(server) -> RendezvousHash.score(partHash, RendezvousHash.hash(server.server().id()), 1)))
			.orElse(null);
	}

	/**
	 * Records that a request was placed.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 */
	void placed(ServerState server, long nowMs) {
		if (budget(server.server().service()) != null) {
			this.belief.coldShares().place(server.server().id(), nowMs);
		}
	}

	/**
	 * Records that a request is about to be sent, unless the share of this daemon has
	 * been used up, or the server has become cold, since the request was placed.
	 * @param server the server
	 * @param nowMs the time in milliseconds
	 * @return whether it may be sent
	 */
	boolean trySend(ServerState server, long nowMs) {
		ColdBudget budget = budget(server.server().service());
		String serverId = server.server().id();
		if (budget == null) {
			return true;
		}
		if (isCold(server, nowMs)) {
			return this.belief.coldShares().trySend(serverId, budget, this.belief.ageMs(), nowMs);
		}
		this.belief.coldShares().send(serverId, nowMs);
		return true;
	}

	/**
	 * Returns the mean time until a cold server takes another request of an average
	 * daemon. A refused caller may return to any daemon.
	 * @param service the service
	 * @param servers the servers
	 * @param nowMs the time in milliseconds
	 * @return the time in milliseconds, or a negative number if no server is cold
	 */
	long meanWaitMs(String service, List<ServerState> servers, long nowMs) {
		ColdBudget budget = budget(service);
		int cold = (budget != null) ? (int) servers.stream().filter((server) -> isCold(server, nowMs)).count() : 0;
		if (cold == 0) {
			return -1;
		}
		return this.belief.coldShares().meanWaitMs(cold, budget);
	}

	/**
	 * Returns the cold servers and the requests that this daemon may send to them.
	 * @param nowMs the time in milliseconds
	 * @return the share in each window by server id
	 */
	Map<String, Object> dump(long nowMs) {
		Map<String, Object> shares = new TreeMap<>();
		for (ServerState server : this.belief.servers().all()) {
			ColdBudget budget = budget(server.server().service());
			if (budget != null && isCold(server, nowMs)) {
				shares.put(server.server().id(),
						this.belief.coldShares().share(server.server().id(), budget, this.belief.ageMs(), nowMs));
			}
		}
		return shares;
	}

}
