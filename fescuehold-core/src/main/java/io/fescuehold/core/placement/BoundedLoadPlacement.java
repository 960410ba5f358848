package io.fescuehold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;

import io.fescuehold.core.view.FleetView;

/**
 * Places a chat on the server that holds its context unless that server's estimated load
 * is too high, and all other requests by a rendezvous hash weighted with speed and
 * estimated load. Routers decide independently and agree in most cases, because the hash
 * is the same everywhere and the weights change slowly with the reports.
 */
public final class BoundedLoadPlacement implements PlacementPolicy {

	private static final int CHAT_CAPACITY = 1 << 18;

	private static final long MIN_CONTEXT_TOKENS = 64;

	private static final long DEFAULT_RETRY_MS = 1_000;

	private static final long MIN_RETRY_MS = 100;

	private static final long MAX_RETRY_MS = 10_000;

	private static final int IMPORT_PROBE_INTERVAL = 32;

	private static final double MOVE_COST_DIVISOR = 2;

	private static final int MAX_POOLS = 256;

	private final long hostHash;

	private final IntSupplier routerCount;

	private final PlacementTuning tuning;

	private final SplittableRandom random;

	private final ChatLocationTable locations = new ChatLocationTable(CHAT_CAPACITY);

	private final FlapHoldOff holdOffs = new FlapHoldOff();

	private final SlowStart slowStart = new SlowStart();

	private final OutputLengthEstimator outputLength = new OutputLengthEstimator();

	private final Map<PoolKey, PoolState> pools = new HashMap<>();

	private final ImportSuccessRate importSuccess = new ImportSuccessRate();

	private final OutstandingRequests outstanding = new OutstandingRequests();

	private FleetView currentView;

	/**
	 * Creates a policy with the default parameters.
	 * @param hostId the id of this router's host
	 * @param routerCount supplies the number of routers that share the servers
	 * @param seed the seed of the random numbers
	 */
	public BoundedLoadPlacement(String hostId, IntSupplier routerCount, long seed) {
		this(hostId, routerCount, seed, PlacementTuning.DEFAULT);
	}

	/**
	 * Creates a policy.
	 * @param hostId the id of this router's host
	 * @param routerCount supplies the number of routers that share the servers
	 * @param seed the seed of the random numbers
	 * @param tuning the parameters
	 */
	public BoundedLoadPlacement(String hostId, IntSupplier routerCount, long seed, PlacementTuning tuning) {
		this.hostHash = RendezvousHash.hash(hostId);
		this.routerCount = routerCount;
		this.tuning = tuning;
		this.random = new SplittableRandom(seed ^ this.hostHash);
	}

	@Override
	public PlacementDecision place(PlacementRequest request, String share, FleetView view,
			Map<String, ServerLoad> loads, long nowMs) {
		PoolState pool = pool(share, request.model(), view, nowMs);
		if (pool.servers().size() == 0) {
			return new PlacementDecision.None();
		}
		pool.refresh(loads, this.slowStart, this.holdOffs, this.routerCount.getAsInt(), nowMs);
		this.outstanding.removeExpired(nowMs,
				(expired) -> release(expired.share(), expired.model(), expired.serverId()));
		Candidate candidate = choose(request, pool, nowMs);
		if (candidate == null) {
			return new PlacementDecision.Full(retryAfterMs(pool));
		}
		String serverId = pool.servers().id(candidate.index);
		double workTokens = request.promptTokens() - candidate.cachedTokens
				+ this.outputLength.expectedTokens(request.maxOutputTokens());
		pool.loads().placed(candidate.index, workTokens);
		this.outstanding.add(request, serverId, share, (candidate.sourceId != null) ? candidate.cachedTokens : 0,
				nowMs);
		return new PlacementDecision.Chosen(serverId, candidate.cachedTokens, candidate.sourceId, candidate.reason);
	}

	private PoolState pool(String share, String model, FleetView view, long nowMs) {
		if (view != this.currentView) {
			this.slowStart.update(view, nowMs);
			this.currentView = view;
		}
		PoolKey key = new PoolKey(share, model);
		PoolState pool = this.pools.get(key);
		if (pool != null && pool.isFor(view)) {
			return pool;
		}
		if (this.pools.size() >= MAX_POOLS) {
			this.pools.values().removeIf((state) -> !state.isFor(view));
		}
		PoolState updated = new PoolState(view, share, model, pool, this.tuning);
		this.pools.put(key, updated);
		return updated;
	}

	private Candidate choose(PlacementRequest request, PoolState pool, long nowMs) {
		long chatHash = RendezvousHash.hash(request.chatId());
		ChatLocationTable.Location location = lastLocation(request, chatHash);
		long contextTokens = (location != null) ? Math.min(location.cachedTokens(), request.promptTokens()) : 0;
		int home = (location != null && contextTokens >= MIN_CONTEXT_TOKENS)
				? pool.servers().indexOf(location.serverId()) : -1;
		if (home >= 0 && pool.isUsable(home, request, nowMs)
				&& mayStayAtHome(home, chatHash, contextTokens, request, pool)) {
			return new Candidate(home, contextTokens, null, "cached");
		}
		boolean isImportable = home >= 0 && CacheCost.isImportCheaper(contextTokens) && mayImport();
		double workTokens = request.promptTokens() - (isImportable ? contextTokens : 0)
				+ this.outputLength.expectedTokens(request.maxOutputTokens());
		int best = bestByHash(chatHash, workTokens, request, pool, nowMs);
		if (best < 0) {
			return null;
		}
		if (isImportable && home != best) {
			return new Candidate(best, contextTokens, location.serverId(), "moved");
		}
		return new Candidate(best, (home == best) ? contextTokens : 0, null, (home >= 0) ? "moved" : "hash");
	}

	private ChatLocationTable.Location lastLocation(PlacementRequest request, long chatHash) {
		// The more recent of the caller's hint and the remembered location is used.
		ChatLocationTable.Location remembered = this.locations.get(chatHash);
		ChatHint hint = request.hint();
		if (hint == null || (remembered != null && remembered.seenAtMs() >= hint.servedAtMs())) {
			return remembered;
		}
		return new ChatLocationTable.Location(hint.serverId(), hint.cachedTokens(), hint.servedAtMs());
	}

	private boolean mayImport() {
		// While imports fail, a few are still tried to detect when they work again.
		return this.importSuccess.isReliable() || this.random.nextInt(IMPORT_PROBE_INTERVAL) == 0;
	}

	private boolean mayStayAtHome(int home, long chatHash, long contextTokens, PlacementRequest request,
			PoolState pool) {
		double load = pool.loads().relativeLoad(home);
		double spread = RendezvousHash.unit(RendezvousHash.combine(chatHash, pool.servers().hash(home)));
		if (!this.importSuccess.isReliable()) {
			// A move makes another server prefill the whole history. Applying the plain
			// load bound to such chats raises the load of the pool and its skew.
			return load <= pool.loadBound() + pool.loads().addedLoad(home, contextTokens);
		}
		double threshold = this.tuning.stayLow() + spread * (this.tuning.stayHigh() - this.tuning.stayLow())
				+ pool.loads().addedLoad(home, CacheCost.moveCost(contextTokens)) / MOVE_COST_DIVISOR;
		return load <= Math.min(threshold, pool.loadBound());
	}

	private int bestByHash(long chatHash, double workTokens, PlacementRequest request, PoolState pool, long nowMs) {
		LoadEstimator loads = pool.loads();
		int best = -1;
		double bestScore = Double.POSITIVE_INFINITY;
		int leastLoaded = -1;
		for (int index = 0; index < pool.servers().size(); index++) {
			if (!pool.isUsable(index, request, nowMs)) {
				continue;
			}
			double load = loads.relativeLoad(index);
			leastLoaded = (leastLoaded < 0 || load < loads.relativeLoad(leastLoaded)) ? index : leastLoaded;
			if (hasRoom(load, loads.addedLoad(index, workTokens), pool)) {
				double score = RendezvousHash.scoreBelow(chatHash, pool.servers().hash(index), loads.weight(index),
						bestScore);
				best = (score < bestScore) ? index : best;
				bestScore = Math.min(score, bestScore);
			}
		}
		return (best >= 0) ? best : leastLoaded;
	}

	private static boolean hasRoom(double load, double addedLoad, PoolState pool) {
		// A request larger than the headroom between mean and bound fits on no server, or
		// only on the few that happen to be nearly empty, and all routers would send such
		// requests there at once. Servers at or below the mean may therefore take it.
		return load <= 1 || load + addedLoad <= pool.loadBound();
	}

	private long retryAfterMs(PoolState pool) {
		double meanMs = pool.loads().meanLoadS() * DEFAULT_RETRY_MS;
		long spreadMs = this.random.nextLong(DEFAULT_RETRY_MS);
		return Math.clamp((long) (meanMs / 2) + spreadMs, MIN_RETRY_MS, MAX_RETRY_MS);
	}

	@Override
	public void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
		OutstandingRequests.Entry entry = this.outstanding.remove(request, serverId);
		if (entry != null) {
			release(entry.share(), request.model(), serverId);
		}
		long chatHash = RendezvousHash.hash(request.chatId());
		if (!outcome.served()) {
			this.holdOffs.failed(serverId, nowMs);
			this.pools.values().forEach((state) -> state.holdOff(serverId, this.holdOffs));
			return;
		}
		if (entry != null && entry.importedTokens() > 0) {
			this.importSuccess.update(entry.importedTokens(), outcome.cachedTokens());
		}
		this.locations.put(chatHash, serverId, outcome.totalTokens(), nowMs);
		this.outputLength.update(outcome.totalTokens() - request.promptTokens());
	}

	private void release(String share, String model, String serverId) {
		PoolState pool = this.pools.get(new PoolKey(share, model));
		int index = (pool != null) ? pool.servers().indexOf(serverId) : -1;
		if (index >= 0) {
			pool.loads().finished(index);
		}
	}

	@Override
	public void cacheEvent(CacheEvent event, long nowMs) {
		long chatHash = RendezvousHash.hash(event.chatId());
		if (event.tokens() == 0) {
			this.locations.remove(chatHash, event.serverId());
			return;
		}
		if (this.locations.get(chatHash) == null) {
			this.locations.put(chatHash, event.serverId(), event.tokens(), nowMs);
		}
	}

	/**
	 * Returns the number of chats remembered.
	 * @return the number
	 */
	public int rememberedChats() {
		return this.locations.size();
	}

	/**
	 * Returns the memory used by the table of chat locations.
	 * @return the size in bytes
	 */
	public long chatMemoryBytes() {
		return this.locations.sizeBytes();
	}

	private record PoolKey(String share, String model) {

	}

	private record Candidate(int index, long cachedTokens, String sourceId, String reason) {

	}

}
