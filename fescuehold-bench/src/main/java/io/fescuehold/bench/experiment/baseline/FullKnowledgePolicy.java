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
 * A reference policy with exact and immediate knowledge of the load and cache of every
 * server. It gives the upper bound on cache reuse by choosing the server that caches most
 * of the chat, within the load bound, or the lower bound on skew by always choosing the
 * least loaded server and importing the cache.
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
		FleetView currentView = this.newestView.get();
		FakeServer mostCached = null;
		FakeServer leastLoaded = null;
		FakeServer source = null;
		long mostCachedTokens = 0;
		long sourceTokens = 0;
		double totalLoadS = 0;
		int usableCount = 0;
		for (FakeServer server : this.servers) {
			long tokens = server.isUp() ? server.cachedTokens(request.chatId()) : 0;
			if (tokens > sourceTokens) {
				source = server;
				sourceTokens = tokens;
			}
			if (!isUsable(server, currentView, request)) {
				continue;
			}
			totalLoadS += server.loadS();
			usableCount++;
			if (tokens > mostCachedTokens) {
				mostCached = server;
				mostCachedTokens = tokens;
			}
			if (leastLoaded == null || server.loadS() < leastLoaded.loadS()) {
				leastLoaded = server;
			}
		}
		if (leastLoaded == null) {
			return new PlacementDecision.Full(1_000);
		}
		double loadBound = currentView.shares().get(share).policy().loadBound();
		FakeServer chosen = (this.prefersCache && mostCached != null
				&& mostCached.loadS() * usableCount <= loadBound * totalLoadS) ? mostCached : leastLoaded;
		long cached = chosen.cachedTokens(request.chatId());
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
