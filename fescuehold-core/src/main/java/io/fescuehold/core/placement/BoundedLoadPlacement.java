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

	private final IntSupplier routers;

	private final PlacementTuning tuning;

	private final SplittableRandom random;

	private final ChatMemory memory = new ChatMemory(CHAT_CAPACITY);

	private final FlapHoldOff flaps = new FlapHoldOff();

	private final JoinRamp joinRamp = new JoinRamp();

	private final OutputLength outputLength = new OutputLength();

	private final Map<PoolKey, PoolState> pools = new HashMap<>();

	private final ImportSuccess imports = new ImportSuccess();

	private final OutstandingWork outstanding = new OutstandingWork();

	private FleetView seenView;

	/**
	 * Creates a policy with the default constants.
	 * @param hostId the id of this router's host
	 * @param routers the number of routers that share the servers
	 * @param seed the seed of the random numbers
	 */
	public BoundedLoadPlacement(String hostId, IntSupplier routers, long seed) {
		this(hostId, routers, seed, PlacementTuning.DEFAULT);
	}

	/**
	 * Creates a policy.
	 * @param hostId the id of this router's host
	 * @param routers the number of routers that share the servers
	 * @param seed the seed of the random numbers
	 * @param tuning the constants
	 */
	public BoundedLoadPlacement(String hostId, IntSupplier routers, long seed, PlacementTuning tuning) {
		this.hostHash = RendezvousHash.hash(hostId);
		this.routers = routers;
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
		pool.refresh(loads, this.joinRamp, this.flaps, this.routers.getAsInt(), nowMs);
		this.outstanding.dropOld(nowMs, (old) -> release(old.share(), old.model(), old.serverId()));
		Candidate candidate = choose(request, pool, nowMs);
		if (candidate == null) {
			return new PlacementDecision.Full(retryAfterMs(pool));
		}
		String serverId = pool.servers().id(candidate.index);
		double work = request.promptTokens() - candidate.cachedTokens
				+ this.outputLength.expected(request.maxOutputTokens());
		pool.loads().placed(candidate.index, work);
		this.outstanding.add(request, serverId, share, (candidate.sourceId != null) ? candidate.cachedTokens : 0,
				nowMs);
		return new PlacementDecision.Chosen(serverId, candidate.cachedTokens, candidate.sourceId, candidate.reason);
	}

	private PoolState pool(String share, String model, FleetView view, long nowMs) {
		if (view != this.seenView) {
			this.joinRamp.update(view, nowMs);
			this.seenView = view;
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
		ChatMemory.Place place = place(request, chatHash);
		long context = (place != null) ? Math.min(place.cachedTokens(), request.promptTokens()) : 0;
		int home = (place != null && context >= MIN_CONTEXT_TOKENS) ? pool.servers().indexOf(place.serverId()) : -1;
		if (home >= 0 && pool.isUsable(home, request, nowMs) && mayStay(home, chatHash, context, request, pool)) {
			return new Candidate(home, context, null, "cached");
		}
		boolean isImportable = home >= 0 && CacheCost.isImportCheaper(context) && mayImport();
		double work = request.promptTokens() - (isImportable ? context : 0)
				+ this.outputLength.expected(request.maxOutputTokens());
		int best = bestByHash(chatHash, work, request, pool, nowMs);
		if (best < 0) {
			return null;
		}
		if (isImportable && home != best) {
			return new Candidate(best, context, place.serverId(), "moved");
		}
		return new Candidate(best, (home == best) ? context : 0, null, (home >= 0) ? "moved" : "hash");
	}

	private ChatMemory.Place place(PlacementRequest request, long chatHash) {
		// The newer of the caller's hint and the memory says where the context is.
		ChatMemory.Place remembered = this.memory.get(chatHash);
		ChatHint hint = request.hint();
		if (hint == null || (remembered != null && remembered.seenAtMs() >= hint.servedAtMs())) {
			return remembered;
		}
		return new ChatMemory.Place(hint.serverId(), hint.cachedTokens(), hint.servedAtMs());
	}

	private boolean mayImport() {
		// Where imports fail, a few are still tried, to notice when they work again.
		return this.imports.isReliable() || this.random.nextInt(IMPORT_PROBE_INTERVAL) == 0;
	}

	private boolean mayStay(int home, long chatHash, long context, PlacementRequest request, PoolState pool) {
		double load = pool.loads().relative(home);
		double spread = RendezvousHash.unit(RendezvousHash.combine(chatHash, pool.servers().hash(home)));
		if (!this.imports.isReliable()) {
			// A move adds the prefill of the whole history to another server. Holding
			// such chats to the bound itself raises the load of the pool and its skew.
			return load <= pool.loadBound() + pool.loads().increase(home, context);
		}
		double threshold = this.tuning.stayLow() + spread * (this.tuning.stayHigh() - this.tuning.stayLow())
				+ pool.loads().increase(home, CacheCost.moveCost(context)) / MOVE_COST_DIVISOR;
		return load <= Math.min(threshold, pool.loadBound());
	}

	private int bestByHash(long chatHash, double work, PlacementRequest request, PoolState pool, long nowMs) {
		LoadEstimator loads = pool.loads();
		int best = -1;
		double bestScore = Double.POSITIVE_INFINITY;
		int least = -1;
		for (int index = 0; index < pool.servers().size(); index++) {
			if (!pool.isUsable(index, request, nowMs)) {
				continue;
			}
			double load = loads.relative(index);
			least = (least < 0 || load < loads.relative(least)) ? index : least;
			if (hasRoom(load, loads.increase(index, work), pool)) {
				double score = RendezvousHash.scoreBelow(chatHash, pool.servers().hash(index), loads.weight(index),
						bestScore);
				best = (score < bestScore) ? index : best;
				bestScore = Math.min(score, bestScore);
			}
		}
		return (best >= 0) ? best : least;
	}

	private static boolean hasRoom(double load, double increase, PoolState pool) {
		// A request larger than the room between mean and bound fits nowhere, or only on
		// the few servers that happen to be nearly empty, which would draw all such
		// requests of all routers at once. Servers at or below the mean may take it.
		return load <= 1 || load + increase <= pool.loadBound();
	}

	private long retryAfterMs(PoolState pool) {
		double meanMs = pool.loads().meanS() * DEFAULT_RETRY_MS;
		long spreadMs = this.random.nextLong(DEFAULT_RETRY_MS);
		return Math.clamp((long) (meanMs / 2) + spreadMs, MIN_RETRY_MS, MAX_RETRY_MS);
	}

	@Override
	public void finished(PlacementRequest request, String serverId, ServedOutcome outcome, long nowMs) {
		OutstandingWork.Entry entry = this.outstanding.remove(request, serverId);
		if (entry != null) {
			release(entry.share(), request.model(), serverId);
		}
		long chatHash = RendezvousHash.hash(request.chatId());
		if (!outcome.served()) {
			this.flaps.failed(serverId, nowMs);
			this.pools.values().forEach((state) -> state.holdOff(serverId, this.flaps));
			return;
		}
		if (entry != null && entry.importedTokens() > 0) {
			this.imports.learn(entry.importedTokens(), outcome.cachedTokens());
		}
		this.memory.put(chatHash, serverId, outcome.totalTokens(), nowMs);
		this.outputLength.learn(outcome.totalTokens() - request.promptTokens());
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
			this.memory.remove(chatHash, event.serverId());
			return;
		}
		if (this.memory.get(chatHash) == null) {
			this.memory.put(chatHash, event.serverId(), event.tokens(), nowMs);
		}
	}

	/**
	 * Returns the number of chats remembered.
	 * @return the number
	 */
	public int rememberedChats() {
		return this.memory.size();
	}

	/**
	 * Returns the memory that the table of chats takes.
	 * @return the size in bytes
	 */
	public long chatMemoryBytes() {
		return this.memory.sizeBytes();
	}

	private record PoolKey(String share, String model) {

	}

	private record Candidate(int index, long cachedTokens, String sourceId, String reason) {

	}

}
