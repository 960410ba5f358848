package io.fescuehold.bench.experiment.baseline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses a server by rendezvous hashing weighted by speed. With a bound, it skips
 * servers whose reported load exceeds the load bound.
 */
final class HashPolicy extends BaselinePolicy {

	private final boolean isBounded;

	private final Map<String, Long> hashByServerId = new HashMap<>();

	HashPolicy(boolean isBounded) {
		this.isBounded = isBounded;
	}

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		double limitS = this.isBounded ? limitS(usable, view, loads) : Double.POSITIVE_INFINITY;
		long chatHash = RendezvousHash.hash(request.chatId());
		String best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (String id : usable) {
			if (loadS(loads, id) > limitS) {
				continue;
			}
			long hash = this.hashByServerId.computeIfAbsent(id, RendezvousHash::hash);
			double score = RendezvousHash.score(chatHash, hash, tokensPerS(id));
			if (score < bestScore) {
				best = id;
				bestScore = score;
			}
		}
		return (best != null) ? best : usable.getFirst();
	}

	private double limitS(List<String> usable, FleetView view, Map<String, ServerLoad> loads) {
		double totalTokens = 0;
		double totalTokensPerS = 0;
		for (String id : usable) {
			totalTokens += loadS(loads, id) * tokensPerS(id);
			totalTokensPerS += tokensPerS(id);
		}
		double bound = view.shares().values().iterator().next().policy().loadBound();
		return (totalTokens > 0) ? bound * totalTokens / totalTokensPerS : Double.POSITIVE_INFINITY;
	}

}
