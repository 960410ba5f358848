package io.fescuehold.standin.modelserver;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The changes of the prefix cache, published with a lag and, as a fault, with gaps in
 * their sequence numbers. When the log is full, the oldest events are dropped.
 */
final class CacheEventLog {

	private static final int MAX_EVENTS = 10_000;

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
	 * @param tokens the number of its cached tokens, 0 for an eviction
	 * @param gapEvery every n-th event is lost after its number was assigned; 0 for none
	 */
	synchronized void add(String chatId, int tokens, int gapEvery) {
		this.lastSequence++;
		if (gapEvery > 0 && this.lastSequence % gapEvery == 0) {
			return;
		}
		this.entries.addLast(new Entry(new CacheChange(this.lastSequence, chatId, tokens), this.clock.millis()));
		if (this.entries.size() > MAX_EVENTS) {
			this.entries.removeFirst();
		}
	}

	/**
	 * Returns the published events after a sequence number.
	 * @param sequence the last number that the reader has received
	 * @return the events and the last published number
	 */
	synchronized CacheChanges after(long sequence) {
		long publishedUntilMs = this.clock.millis() - this.lagMs;
		List<CacheChange> published = this.entries.stream()
			.takeWhile((entry) -> entry.atMs() <= publishedUntilMs)
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
	 * @param sequence the sequence number
	 * @param chatId the chat
	 * @param tokens the number of its cached tokens, 0 for an eviction
	 */
	record CacheChange(long sequence, String chatId, int tokens) {
	}

	/**
	 * The changes that a reader asked for.
	 *
	 * @param events the changes
	 * @param lastSequence the last published sequence number
	 */
	record CacheChanges(List<CacheChange> events, long lastSequence) {
	}

}
