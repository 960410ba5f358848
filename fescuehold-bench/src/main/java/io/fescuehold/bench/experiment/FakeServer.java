package io.fescuehold.bench.experiment;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;

/**
 * A simulated model server with continuous batching and a prompt cache. Running requests
 * generate tokens at a common rate, prefill uses the remaining throughput in order of
 * arrival, and the cache evicts the least recently used chats.
 */
public final class FakeServer {

	private static final double DECODE_TOKENS_PER_S = 20;

	private static final double MAX_DECODE_FRACTION = 0.7;

	private static final double MS_PER_S = 1_000;

	private static final double IMPORT_TOKENS_PER_MS = 40;

	private static final long IMPORT_SETUP_MS = 20;

	private final String id;

	private final double tokensPerS;

	private final int maxRunningRequests;

	private final double decodeTokensPerS;

	private final long maxCacheTokens;

	private final List<FakeRequest> requests = new ArrayList<>();

	private final LinkedHashMap<String, Long> cachedTokensByChat = new LinkedHashMap<>(64, 0.75F, true);

	private long cacheUsedTokens;

	private double outstandingTokens;

	private boolean up = true;

	private boolean countedInSkew = true;

	FakeServer(String id, int speedFactor, double granularity) {
		this.id = id;
		this.tokensPerS = (double) Deployment.BASE_TOKENS_PER_S * speedFactor;
		this.maxRunningRequests = (int) (Deployment.BASE_MAX_RUNNING_REQUESTS * speedFactor * granularity);
		this.decodeTokensPerS = DECODE_TOKENS_PER_S / granularity;
		this.maxCacheTokens = Deployment.BASE_CACHE_TOKENS * speedFactor;
	}

	/**
	 * Returns the id of the server.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns whether the server is up and accepts requests.
	 * @return whether the server is up
	 */
	public boolean isUp() {
		return this.up;
	}

	double tokensPerS() {
		return this.tokensPerS;
	}

	boolean isCountedInSkew() {
		return this.countedInSkew;
	}

	void setCountedInSkew(boolean isCountedInSkew) {
		this.countedInSkew = isCountedInSkew;
	}

	/**
	 * Returns the time that the outstanding tokens take at the server's speed.
	 * @return the time in seconds
	 */
	public double loadS() {
		return outstandingTokens() / this.tokensPerS;
	}

	/**
	 * Returns the number of tokens of a chat in the cache.
	 * @param chatId the id of the chat
	 * @return the number of tokens
	 */
	public long cachedTokens(String chatId) {
		return this.cachedTokensByChat.getOrDefault(chatId, 0L);
	}

	/**
	 * Returns whether the server has as many requests as its maximum batch size.
	 * @return whether the server is full
	 */
	public boolean isFull() {
		return this.requests.size() >= this.maxRunningRequests;
	}

	private double outstandingTokens() {
		return this.outstandingTokens;
	}

	ServerLoad report(long nowMs) {
		return new ServerLoad(this.id, Math.round(outstandingTokens()),
				Math.min(this.requests.size(), this.maxRunningRequests), nowMs);
	}

	/**
	 * Accepts a request.
	 * @param chat the chat
	 * @param request the request
	 * @param outputTokens the number of tokens that the request will generate
	 * @param source the server to import the chat's cache from, or null
	 * @param nowMs the time in milliseconds
	 * @return the accepted request
	 */
	FakeRequest accept(FakeChat chat, PlacementRequest request, double outputTokens, FakeServer source, long nowMs) {
		long localTokens = Math.min(cachedTokens(chat.id()), request.promptTokens());
		long importedTokens = 0;
		long startsAtMs = nowMs;
		if (source != null && source.up) {
			importedTokens = Math.max(0,
					Math.min(source.cachedTokens(chat.id()), request.promptTokens()) - localTokens);
			if (importedTokens > 0) {
				startsAtMs += IMPORT_SETUP_MS + (long) (importedTokens / IMPORT_TOKENS_PER_MS);
			}
		}
		FakeRequest accepted = new FakeRequest(this.id, chat, request, localTokens + importedTokens, outputTokens,
				startsAtMs);
		this.requests.add(accepted);
		this.outstandingTokens += accepted.outstandingTokens();
		return accepted;
	}

	void advance(long nowMs, long stepMs, List<FakeRequest> done) {
		int decodingRequests = 0;
		int runningRequests = Math.min(this.requests.size(), this.maxRunningRequests);
		for (int index = 0; index < runningRequests; index++) {
			decodingRequests += this.requests.get(index).isPrefilled() ? 1 : 0;
		}
		double budgetTokens = this.tokensPerS * stepMs / MS_PER_S;
		double tokensPerRequest = (decodingRequests > 0) ? Math.min(this.decodeTokensPerS * stepMs / MS_PER_S,
				MAX_DECODE_FRACTION * budgetTokens / decodingRequests) : 0;
		double prefillBudgetTokens = budgetTokens - decodingRequests * tokensPerRequest;
		Iterator<FakeRequest> iterator = this.requests.iterator();
		for (int index = 0; index < runningRequests; index++) {
			FakeRequest request = iterator.next();
			if (!request.hasStarted(nowMs)) {
				continue;
			}
			if (request.isPrefilled()) {
				this.outstandingTokens -= request.generate(tokensPerRequest);
			}
			else {
				double prefilledTokens = request.prefill(prefillBudgetTokens);
				prefillBudgetTokens -= prefilledTokens;
				this.outstandingTokens -= prefilledTokens;
			}
			if (request.isDone()) {
				iterator.remove();
				store(request.chat().id(), request.totalTokens());
				done.add(request);
			}
		}
	}

	private void store(String chatId, long tokens) {
		Long previous = this.cachedTokensByChat.put(chatId, tokens);
		this.cacheUsedTokens += tokens - ((previous != null) ? previous : 0);
		Iterator<Map.Entry<String, Long>> leastRecentlyUsed = this.cachedTokensByChat.entrySet().iterator();
		while (this.cacheUsedTokens > this.maxCacheTokens && leastRecentlyUsed.hasNext()) {
			this.cacheUsedTokens -= leastRecentlyUsed.next().getValue();
			leastRecentlyUsed.remove();
		}
	}

	/**
	 * Stops the server, which loses its requests and its cache.
	 * @return the lost requests
	 */
	List<FakeRequest> crash() {
		List<FakeRequest> lost = List.copyOf(this.requests);
		this.requests.clear();
		this.outstandingTokens = 0;
		this.cachedTokensByChat.clear();
		this.cacheUsedTokens = 0;
		this.up = false;
		return lost;
	}

	void start() {
		this.up = true;
	}

}
