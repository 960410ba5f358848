package io.fescuehold.core.prompt;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.servers.ServerState;
import io.fescuehold.core.servers.WorkTimes;

/**
 * Chooses the model server of a prompt: rendezvous hashing over the deepest shared part,
 * so that all daemons agree on a home server for each part without communication, with
 * bounded load. A prompt whose home is above the bound, or has no memory left for it,
 * goes to the next server of its hash order. It also leaves a home that is known to be
 * slow, if it may miss its objective there and another server sends the first event
 * sooner by a time that the caller notices, reading the shared parts again included. A
 * server that lacks shared parts is asked to copy them from one that holds them where
 * reading them again takes noticeably longer.
 */
public final class EnginePlacement {

	/**
	 * Smaller than the multiple of the mean that no server may exceed, which leaves room
	 * for late load reports.
	 */
	static final double BOUND_FACTOR = 1.5;

	/**
	 * Added to the bound, because a multiple of a small mean allows too few requests.
	 * Including the new request, a server then holds at most 1.5 times the mean plus 3
	 * requests.
	 */
	static final double BOUND_SLACK_REQUESTS = 2;

	/**
	 * The bound for all servers of a service, which counts where few of them take
	 * requests: during an evacuation the others hold more than the mean of all.
	 */
	static final double MAX_SERVICE_FACTOR = 1.75;

	/**
	 * The requests that are added to a server's load for each unit of failure rate above
	 * the tolerated one.
	 */
	static final double FAILURE_PENALTY_REQUESTS = 40;

	/** Up to this failure rate a server counts as no more loaded and keeps its parts. */
	static final double TOLERATED_FAILURE_RATE = 0.12;

	private final PartHolders holders;

	private final MemoryInUse memory;

	private final FirstEventEstimate estimate;

	/**
	 * Creates a placement that knows nothing of memory and times.
	 * @param holders the servers that hold each part, as far as this daemon knows
	 */
	public EnginePlacement(PartHolders holders) {
		this(holders, new MemoryInUse(), new WorkTimes());
	}

	/**
	 * Creates a placement.
	 * @param holders the servers that hold each part, as far as this daemon knows
	 * @param memory the memory that requests in flight take
	 * @param times the usual times to the first event, by service
	 */
	public EnginePlacement(PartHolders holders, MemoryInUse memory, WorkTimes times) {
		this.holders = holders;
		this.memory = memory;
		this.estimate = new FirstEventEstimate(holders, times);
	}

	/**
	 * Chooses a server for a prompt of which nothing else is known.
	 * @param prompt the prompt
	 * @param candidates the servers that may run it
	 * @param sources the servers that parts may be copied from, leaving ones included
	 * @param nowMs the time in milliseconds
	 * @return the choice, or null if there is no candidate
	 */
	public EngineChoice choose(PromptShape prompt, List<ServerState> candidates, List<ServerState> sources,
			long nowMs) {
		return choose(EngineRequest.ofPrompt(prompt), candidates, sources, nowMs);
	}

	/**
	 * Chooses a server.
	 * @param request the request
	 * @param candidates the servers that may run it
	 * @param sources the servers that parts may be copied from, leaving ones included
	 * @param nowMs the time in milliseconds
	 * @return the choice, or null if there is no candidate
	 */
	public EngineChoice choose(EngineRequest request, List<ServerState> candidates, List<ServerState> sources,
			long nowMs) {
		if (candidates.isEmpty()) {
			return null;
		}
		PromptPart homePart = request.prompt().subject();
		if (homePart == null) {
			return choice(request, leastLoaded(candidates, nowMs), null, EngineChoice.Reason.LEAST_LOADED, nowMs);
		}
		double meanLoad = meanLoad(candidates, nowMs);
		double loadBound = Math.min(meanLoad * BOUND_FACTOR, meanLoad(sources, nowMs) * MAX_SERVICE_FACTOR)
				+ BOUND_SLACK_REQUESTS;
		List<ServerState> eligible = candidates.stream()
			.filter((server) -> effectiveLoad(server, nowMs) < loadBound)
			.toList();
		List<ServerState> withRoom = eligible.stream().filter((server) -> hasRoom(request, server)).toList();
		long partHash = RendezvousHash.hash(homePart.id());
		ServerState home = first(partHash, candidates);
		ServerState nearest = first(partHash, withRoom.isEmpty() ? eligible : withRoom);
		if (nearest == null) {
			return choice(request, leastLoaded(candidates, nowMs), sources, EngineChoice.Reason.LEAST_LOADED, nowMs);
		}
		ServerState faster = faster(request, nearest, withRoom, nowMs);
		if (faster != null) {
			return choice(request, faster, sources, EngineChoice.Reason.FASTER, nowMs);
		}
		EngineChoice.Reason reason = EngineChoice.Reason.HOME;
		if (nearest != home) {
			reason = eligible.contains(home) ? EngineChoice.Reason.MEMORY : EngineChoice.Reason.SPILL;
		}
		return choice(request, nearest, sources, reason, nowMs);
	}

	private static double meanLoad(List<ServerState> servers, long nowMs) {
		return servers.stream().mapToInt((server) -> server.load(nowMs)).average().orElse(Double.POSITIVE_INFINITY);
	}

	private EngineChoice choice(EngineRequest request, ServerState chosen, List<ServerState> sources,
			EngineChoice.Reason reason, long nowMs) {
		boolean copies = sources != null && this.estimate.isCopyNoticed(request, chosen, nowMs);
		ServerState source = copies ? copySource(request.prompt(), chosen, sources, nowMs) : null;
		return new EngineChoice(chosen, source, reason, this.estimate.unreadTokens(request.prompt(), chosen, nowMs));
	}

	private boolean hasRoom(EngineRequest request, ServerState server) {
		return this.memory.hasRoom(server, request.prompt(), request.demand(), request.capacityTokens());
	}

	private static ServerState first(long partHash, List<ServerState> servers) {
		ServerState first = null;
		double firstScore = Double.POSITIVE_INFINITY;
		for (ServerState server : servers) {
			double score = score(partHash, server);
			if (score < firstScore) {
				firstScore = score;
				first = server;
			}
		}
		return first;
	}

	// Servers of equal cost are taken in the hash order, so that hosts agree on where the
	// parts of a slow server are read instead.
	private ServerState faster(EngineRequest request, ServerState nearest, List<ServerState> servers, long nowMs) {
		if (!this.estimate.isKnownSlow(nearest, nowMs)) {
			return null;
		}
		long partHash = RendezvousHash.hash(request.prompt().subject().id());
		double nearestMs = this.estimate.costMs(request, nearest, nowMs);
		ServerState best = servers.stream()
			.min(Comparator.comparingDouble((ServerState server) -> this.estimate.costMs(request, server, nowMs))
				.thenComparingDouble((server) -> score(partHash, server)))
			.orElse(null);
		boolean leaves = best != null && best != nearest
				&& FirstEventEstimate.isWorthLeaving(request, nearestMs, this.estimate.costMs(request, best, nowMs));
		return leaves ? best : null;
	}

	// If no server is known to hold the parts, they are copied from the first other
	// server in the hash order: either the home before the chosen server joined, or the
	// home that was skipped because it is above the load bound.
	private ServerState copySource(PromptShape prompt, ServerState chosen, List<ServerState> sources, long nowMs) {
		long partHash = RendezvousHash.hash(prompt.subject().id());
		if (this.holders.holds(prompt.subject(), chosen.server().id(), nowMs)) {
			return null;
		}
		List<PromptPart> shared = prompt.sharedParts();
		for (int index = shared.size() - 1; index >= 0; index--) {
			PromptPart part = shared.get(index);
			if (this.holders.holds(part, chosen.server().id(), nowMs)) {
				break;
			}
			Map<String, Long> lastUseMsByServer = this.holders.holders(part);
			ServerState source = sources.stream()
				.filter((server) -> server != chosen && server.health().isUsable(nowMs)
						&& this.holders.holds(part, server.server().id(), nowMs))
				.max(Comparator.comparingLong((server) -> lastUseMsByServer.getOrDefault(server.server().id(), 0L)))
				.orElse(null);
			if (source != null) {
				return source;
			}
		}
		return sources.stream()
			.filter((server) -> server != chosen && server.health().isUsable(nowMs))
			.min(Comparator.comparingDouble((server) -> score(partHash, server)))
			.orElse(null);
	}

	private static double score(long partHash, ServerState server) {
		return RendezvousHash.score(partHash, RendezvousHash.hash(server.server().id()), 1);
	}

	private static ServerState leastLoaded(List<ServerState> candidates, long nowMs) {
		return candidates.stream()
			.min(Comparator.comparingDouble((ServerState server) -> effectiveLoad(server, nowMs)))
			.orElseThrow();
	}

	private static double effectiveLoad(ServerState server, long nowMs) {
		double excessFailureRate = server.health().failureRate(nowMs) - TOLERATED_FAILURE_RATE;
		return server.load(nowMs) + Math.max(0, excessFailureRate) * FAILURE_PENALTY_REQUESTS;
	}

}
