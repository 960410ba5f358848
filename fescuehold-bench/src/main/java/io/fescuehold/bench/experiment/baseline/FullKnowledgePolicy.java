package io.fescuehold.bench.experiment.baseline;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.fescuehold.bench.experiment.FakeServer;
import io.fescuehold.config.ServerState;
import io.fescuehold.core.placement.CacheCost;
import io.fescuehold.core.placement.CacheEvent;
import io.fescuehold.core.placement.PlacementDecision;
import io.fescuehold.core.placement.PlacementPolicy;
import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServedOutcome;
import io.fescuehold.core.placement.ServerLoad;
import io.fescuehold.core.view.FleetView;

/**
 * One router that knows the true load and cache of every server at once: the upper bound
 * for all others. It keeps to the load bound and otherwise prefers the cache, or, as the
 * lower bound of skew, always takes the least loaded server and imports the cache.
 */
final class FullKnowledgePolicy implements PlacementPolicy {

	private final List<FakeServer> servers;

	private final Supplier<FleetView> newestView;

	private final boolean prefersCache;

	FullKnowledgePolicy(List<FakeServer> servers, Supplier<FleetView> newestView, boolean prefersCache) {
		this.prefersCache = prefersCache;
		this.servers = servers;
		this.newestView = newestView;
	}

	@Override
	public PlacementDecision place(PlacementRequest request, String share, FleetView view,
			Map<String, ServerLoad> loads, long nowMs) {
		FleetView newest = this.newestView.get();
		FakeServer home = null;
		FakeServer least = null;
		FakeServer source = null;
		long homeTokens = 0;
		long sourceTokens = 0;
		double total = 0;
		int count = 0;
		for (FakeServer server : this.servers) {
			long tokens = server.isUp() ? server.cached(request.chatId()) : 0;
			if (tokens > sourceTokens) {
				source = server;
				sourceTokens = tokens;
			}
			if (!isUsable(server, newest, request)) {
				continue;
			}
			total += server.loadS();
			count++;
			if (tokens > homeTokens) {
				home = server;
				homeTokens = tokens;
			}
			if (least == null || server.loadS() < least.loadS()) {
				least = server;
			}
		}
		if (least == null) {
			return new PlacementDecision.Full(1_000);
		}
		double bound = newest.shares().get(share).policy().loadBound();
		FakeServer chosen = (this.prefersCache && home != null && home.loadS() * count <= bound * total) ? home : least;
		long cached = chosen.cached(request.chatId());
		boolean isImported = source != null && source != chosen && CacheCost.isImportCheaper(sourceTokens - cached);
		return new PlacementDecision.Chosen(chosen.id(), cached, isImported ? source.id() : null, "full knowledge");
	}

	private static boolean isUsable(FakeServer server, FleetView view, PlacementRequest request) {
		return server.isUp() && !server.isFull() && view.modelServers().containsKey(server.id())
				&& view.modelServers().get(server.id()).spec().state() != ServerState.LEAVING
				&& !request.excludedServerIds().contains(server.id());
	}

	@Override
	public void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
	}

	@Override
	public void cacheEvent(CacheEvent event, long nowMs) {
	}

}
