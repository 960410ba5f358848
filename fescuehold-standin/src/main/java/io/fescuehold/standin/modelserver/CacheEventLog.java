package io.fescuehold.standin.modelserver;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The changes of the prefix cache, published late and, as a fault, with gaps in their
 * sequence. The oldest events are dropped beyond a limit.
 */
final class CacheEventLog {

	private static final int LIMIT = 10_000;

	private final Deque<Entry> entries = new ArrayDeque<>();

	private final Clock clock;

	private final int lagMs;

	private long lastSequence;

	CacheEventLog(Clock clock, int lagMs) {
		this.clock = clock;
		this.lagMs = lagMs;
	}

	/**
	 * Records a change.
	 * @param chatId the chat
	 * @param tokens its cached tokens, 0 for an eviction
	 * @param gapEvery every n-th event takes its number and is lost, or 0
	 */
	synchronized void add(String chatId, int tokens, int gapEvery) {
		this.lastSequence++;
		if (gapEvery > 0 && this.lastSequence % gapEvery == 0) {
			return;
		}
		this.entries.addLast(new Entry(new CacheChange(this.lastSequence, chatId, tokens), this.clock.millis()));
		if (this.entries.size() > LIMIT) {
			this.entries.removeFirst();
		}
	}

	/**
	 * Returns the published events after a sequence number.
	 * @param sequence the last number that the reader knows
	 * @return the events and the last published number
	 */
	synchronized CacheChanges after(long sequence) {
		long newestAllowedMs = this.clock.millis() - this.lagMs;
		List<CacheChange> published = this.entries.stream()
			.takeWhile((entry) -> entry.atMs() <= newestAllowedMs)
			.map(Entry::change)
			.toList();
		long last = (published.isEmpty()) ? 0 : published.getLast().sequence();
		return new CacheChanges(published.stream().filter((change) -> change.sequence() > sequence).toList(), last);
	}

	private record Entry(CacheChange change, long atMs) {
	}

	/**
	 * A change of the cache.
	 *
	 * @param sequence the number of the change
	 * @param chatId the chat
	 * @param tokens its cached tokens, 0 for an eviction
	 */
	record CacheChange(long sequence, String chatId, int tokens) {
	}

	/**
	 * The changes that a reader asked for.
	 *
	 * @param events the changes
	 * @param lastSequence the last published number
	 */
	record CacheChanges(List<CacheChange> events, long lastSequence) {
	}

}
