package io.fescuehold.bench.experiment;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.fescuehold.core.placement.PlacementRequest;
import io.fescuehold.core.placement.ServerLoad;

/**
 * A model server with continuous batching and a prompt cache: running requests generate
 * at a common rate, prefill takes what is left of the speed in order of arrival, and the
 * least recently used chats leave the cache.
 */
public final class FakeServer {

	private static final double DECODE_TOKENS_PER_S = 20;

	private static final double MAX_DECODE_PORTION = 0.7;

	private static final double MS_PER_S = 1_000;

	private static final double IMPORT_TOKENS_PER_MS = 40;

	private static final long IMPORT_FIXED_MS = 20;

	private final String id;

	private final double tokensPerS;

	private final int maxRunning;

	private final double decodeTokensPerS;

	private final long cacheLimit;

	private final List<FakeRequest> requests = new ArrayList<>();

	private final LinkedHashMap<String, Long> cache = new LinkedHashMap<>(64, 0.75F, true);

	private long cachedTokens;

	private double outstanding;

	private boolean up = true;

	private boolean counted = true;

	FakeServer(String id, int factor, double granularity) {
		this.id = id;
		this.tokensPerS = (double) Deployment.BASE_SPEED * factor;
		this.maxRunning = (int) (Deployment.BASE_RUNNING * factor * granularity);
		this.decodeTokensPerS = DECODE_TOKENS_PER_S / granularity;
		this.cacheLimit = Deployment.BASE_CACHE_TOKENS * factor;
	}

	/**
	 * Returns the id of the server.
	 * @return the id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Tells whether the server accepts requests.
	 * @return whether it is up
	 */
	public boolean isUp() {
		return this.up;
	}

	double tokensPerS() {
		return this.tokensPerS;
	}

	boolean isCounted() {
		return this.counted;
	}

	void setCounted(boolean isCounted) {
		this.counted = isCounted;
	}

	/**
	 * Returns the outstanding work per speed.
	 * @return the work in seconds
	 */
	public double loadS() {
		return outstandingTokens() / this.tokensPerS;
	}

	/**
	 * Returns the tokens of a chat in the cache.
	 * @param chatId the chat
	 * @return the tokens
	 */
	public long cached(String chatId) {
		return this.cache.getOrDefault(chatId, 0L);
	}

	/**
	 * Tells whether the server batches as many requests as it can.
	 * @return whether it is full
	 */
	public boolean isFull() {
		return this.requests.size() >= this.maxRunning;
	}

	private double outstandingTokens() {
		return this.outstanding;
	}

	ServerLoad report(long nowMs) {
		return new ServerLoad(this.id, Math.round(outstandingTokens()), Math.min(this.requests.size(), this.maxRunning),
				nowMs);
	}

	/**
	 * Accepts a request.
	 * @param chat the chat
	 * @param request the request
	 * @param outputTokens the tokens it will generate
	 * @param source the server to import the chat's cache from, or null
	 * @param nowMs the time in milliseconds
	 * @return the request as accepted
	 */
	FakeRequest accept(FakeChat chat, PlacementRequest request, double outputTokens, FakeServer source, long nowMs) {
		long local = Math.min(cached(chat.id()), request.promptTokens());
		long imported = 0;
		long startsAtMs = nowMs;
		if (source != null && source.up) {
			imported = Math.max(0, Math.min(source.cached(chat.id()), request.promptTokens()) - local);
			if (imported > 0) {
				startsAtMs += IMPORT_FIXED_MS + (long) (imported / IMPORT_TOKENS_PER_MS);
			}
		}
		FakeRequest accepted = new FakeRequest(this.id, chat, request, local + imported, outputTokens, startsAtMs);
		this.requests.add(accepted);
		this.outstanding += accepted.outstanding();
		return accepted;
	}

	void advance(long nowMs, long stepMs, List<FakeRequest> done) {
		int decoding = 0;
		int running = Math.min(this.requests.size(), this.maxRunning);
		for (int index = 0; index < running; index++) {
			decoding += this.requests.get(index).isPrefilled() ? 1 : 0;
		}
		double budget = this.tokensPerS * stepMs / MS_PER_S;
		double perRequest = (decoding > 0)
				? Math.min(this.decodeTokensPerS * stepMs / MS_PER_S, MAX_DECODE_PORTION * budget / decoding) : 0;
		double prefillBudget = budget - decoding * perRequest;
		Iterator<FakeRequest> iterator = this.requests.iterator();
		for (int index = 0; index < running; index++) {
			FakeRequest request = iterator.next();
			if (!request.hasStarted(nowMs)) {
				continue;
			}
			if (request.isPrefilled()) {
				this.outstanding -= request.generate(perRequest);
			}
			else {
				double prefilled = request.prefill(prefillBudget);
				prefillBudget -= prefilled;
				this.outstanding -= prefilled;
			}
			if (request.isDone()) {
				iterator.remove();
				store(request.chat().id(), request.totalTokens());
				done.add(request);
			}
		}
	}

	private void store(String chatId, long tokens) {
		Long previous = this.cache.put(chatId, tokens);
		this.cachedTokens += tokens - ((previous != null) ? previous : 0);
		Iterator<Map.Entry<String, Long>> eldest = this.cache.entrySet().iterator();
		while (this.cachedTokens > this.cacheLimit && eldest.hasNext()) {
			this.cachedTokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	/**
	 * Stops the server, which loses its requests and its cache.
	 * @return the requests lost
	 */
	List<FakeRequest> crash() {
		List<FakeRequest> lost = List.copyOf(this.requests);
		this.requests.clear();
		this.outstanding = 0;
		this.cache.clear();
		this.cachedTokens = 0;
		this.up = false;
		return lost;
	}

	void start() {
		this.up = true;
	}

}
