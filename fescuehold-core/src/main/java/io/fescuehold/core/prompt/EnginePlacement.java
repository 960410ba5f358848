package io.fescuehold.core.prompt;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.servers.ServerState;

/**
 * Chooses the model server of a prompt: rendezvous hashing over the deepest shared part,
 * so that all daemons agree on a home server for each part without communication, with
 * bounded load. A prompt whose home is above the bound goes to the next server of its
 * hash order, which is then asked to copy the shared parts from a server that holds them,
 * because copying costs a fraction of another prefill.
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
	 * The requests that are added to a server's load for each unit of failure rate above
	 * the tolerated one.
	 */
	static final double FAILURE_PENALTY_REQUESTS = 40;

	/** Up to this failure rate a server counts as no more loaded and keeps its parts. */
	static final double TOLERATED_FAILURE_RATE = 0.12;

	private final PartHolders holders;

	/**
	 * Creates a placement.
	 * @param holders the servers that hold each part, as far as this daemon knows
	 */
	public EnginePlacement(PartHolders holders) {
		this.holders = holders;
	}

	/**
	 * Chooses a server.
	 * @param prompt the prompt
	 * @param candidates the servers that may run it
	 * @param sources the servers that parts may be copied from, leaving ones included
	 * @param nowMs the time in milliseconds
	 * @return the choice, or null if there is no candidate
	 */
	public EngineChoice choose(PromptShape prompt, List<ServerState> candidates, List<ServerState> sources,
			long nowMs) {
		if (candidates.isEmpty()) {
			return null;
		}
		PromptPart homePart = prompt.subject();
		if (homePart == null) {
			return new EngineChoice(leastLoaded(candidates, nowMs), null, EngineChoice.Reason.LEAST_LOADED);
		}
		double meanLoad = candidates.stream().mapToInt(ServerState::load).sum() / (double) candidates.size();
		double loadBound = meanLoad * BOUND_FACTOR + BOUND_SLACK_REQUESTS;
		long partHash = RendezvousHash.hash(homePart.id());
		ServerState home = null;
		ServerState withinBound = null;
		double homeScore = Double.POSITIVE_INFINITY;
		double withinBoundScore = Double.POSITIVE_INFINITY;
		for (ServerState candidate : candidates) {
			double score = score(partHash, candidate);
			if (score < homeScore) {
				homeScore = score;
				home = candidate;
			}
			if (score < withinBoundScore && effectiveLoad(candidate, nowMs) < loadBound) {
				withinBoundScore = score;
				withinBound = candidate;
			}
		}
		ServerState chosen = (withinBound != null) ? withinBound : leastLoaded(candidates, nowMs);
		EngineChoice.Reason reason = EngineChoice.Reason.LEAST_LOADED;
		if (withinBound != null) {
			reason = (withinBound == home) ? EngineChoice.Reason.HOME : EngineChoice.Reason.SPILL;
		}
		return new EngineChoice(chosen, copySource(prompt, partHash, chosen, sources, nowMs), reason);
	}

	// If no server is known to hold the parts, they are copied from the first other
	// server in the hash order: either the home before the chosen server joined, or the
	// home that was skipped because it is above the load bound.
	private ServerState copySource(PromptShape prompt, long partHash, ServerState chosen, List<ServerState> sources,
			long nowMs) {
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
		return server.load() + Math.max(0, excessFailureRate) * FAILURE_PENALTY_REQUESTS;
	}

}
