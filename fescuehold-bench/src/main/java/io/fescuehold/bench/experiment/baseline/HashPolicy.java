package io.fescuehold.bench.experiment.baseline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.RendezvousHash;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * Chooses by rendezvous hash weighted with speed; with a bound, servers whose reported
 * load is above the bound are passed over.
 */
final class HashPolicy extends BaselinePolicy {

	private final boolean bounded;

	private final Map<String, Long> hashes = new HashMap<>();

	HashPolicy(boolean bounded) {
		this.bounded = bounded;
	}

	@Override
	String choose(List<String> usable, PlacementRequest request, FleetView view, Map<String, ServerLoad> loads) {
		double limitS = this.bounded ? limitS(usable, view, loads) : Double.POSITIVE_INFINITY;
		long chatHash = RendezvousHash.hash(request.chatId());
		String best = null;
		double bestScore = Double.POSITIVE_INFINITY;
		for (String id : usable) {
			if (loadS(loads, id) > limitS) {
				continue;
			}
			long hash = this.hashes.computeIfAbsent(id, RendezvousHash::hash);
			double score = RendezvousHash.score(chatHash, hash, speed(id));
			if (score < bestScore) {
				best = id;
				bestScore = score;
			}
		}
		return (best != null) ? best : usable.getFirst();
	}

	private double limitS(List<String> usable, FleetView view, Map<String, ServerLoad> loads) {
		double total = 0;
		double speed = 0;
		for (String id : usable) {
			total += loadS(loads, id) * speed(id);
			speed += speed(id);
		}
		double bound = view.shares().values().iterator().next().policy().loadBound();
		return (total > 0) ? bound * total / speed : Double.POSITIVE_INFINITY;
	}

}
