package io.fescuehold.standin.modelserver;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Continuous batching: on each tick every running request generates one token, finished
 * requests leave the batch and waiting requests join it in order of priority.
 */
final class BatchEngine implements AutoCloseable {

	private static final int MS_PER_S = 1_000;

	private final PriorityQueue<Generation> waiting = new PriorityQueue<>(
			Comparator.<Generation>comparingInt((generation) -> generation.body().priority())
				.thenComparingLong(Generation::sequence));

	private final List<Generation> running = new ArrayList<>();

	private final ModelServerOptions options;

	private final PrefixCache cache;

	private final Scheduler scheduler = Schedulers.newSingle("standin-engine", true);

	private final Disposable ticks;

	private long nextSequence;

	BatchEngine(ModelServerOptions options, PrefixCache cache) {
		this.options = options;
		this.cache = cache;
		this.ticks = Flux.interval(Duration.ofMillis(options.tokenMs()), this.scheduler)
			.onBackpressureDrop()
			.subscribe((tick) -> tick());
	}

	/**
	 * Adds a request to the queue.
	 * @param body the request
	 * @param chatId the chat, or null
	 * @return the request's generation
	 */
	synchronized Generation submit(ChatBody body, String chatId) {
		Generation generation = new Generation(this.nextSequence++, body, chatId);
		this.waiting.add(generation);
		return generation;
	}

	/**
	 * Cancels a request. Its prompt and the tokens generated so far are cached if the
	 * prompt was processed completely.
	 * @param generation the request
	 */
	synchronized void cancel(Generation generation) {
		if (this.waiting.remove(generation)) {
			generation.finish();
		}
		else if (this.running.remove(generation)) {
			finish(generation);
		}
	}

	private synchronized void tick() {
		admit();
		int prefillBudget = Math.max(1, this.options.prefillTokensPerS() * this.options.tokenMs() / MS_PER_S);
		for (Generation generation : List.copyOf(this.running)) {
			if (generation.prefilled()) {
				generation.generateToken();
			}
			else {
				prefillBudget -= generation.prefill(prefillBudget);
			}
			if (generation.prefilled() && generation.complete()) {
				this.running.remove(generation);
				finish(generation);
			}
		}
	}

	private void admit() {
		while (this.running.size() < this.options.maxRunning() && !this.waiting.isEmpty()) {
			Generation generation = this.waiting.poll();
			generation.start(this.cache.match(generation.chatId(), generation.prompt()));
			this.running.add(generation);
		}
	}

	private void finish(Generation generation) {
		if (generation.prefilled()) {
			this.cache.put(generation.chatId(), generation.cacheableTokens());
		}
		generation.finish();
	}

	/**
	 * Returns the current load.
	 * @param nowMs the time of the report in milliseconds since the epoch
	 * @return the load
	 */
	synchronized LoadReport load(long nowMs) {
		long outstanding = 0;
		for (Generation generation : this.running) {
			outstanding += generation.outstandingTokens();
		}
		for (Generation generation : this.waiting) {
			outstanding += generation.outstandingTokens();
		}
		return new LoadReport(outstanding, this.running.size(), this.waiting.size(), this.cache.usedTokens(), nowMs);
	}

	@Override
	public void close() {
		this.ticks.dispose();
		this.scheduler.dispose();
	}

}
