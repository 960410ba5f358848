package io.fescuehold.client;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the tokens of an answer in order across connections and continuations: repeated
 * positions are dropped, early ones wait for those before them.
 */
final class StreamAssembler {

	private static final int MAX_EARLY = 256;

	private final TreeMap<Long, String> early = new TreeMap<>();

	private final StringBuilder text = new StringBuilder();

	private long position;

	private long base;

	/**
	 * Accepts a token.
	 * @param streamPosition its position in the present stream, from 1
	 * @param piece its text
	 * @return the texts that are now in order, often just this one
	 */
	List<String> accept(long streamPosition, String piece) {
		long global = this.base + streamPosition;
		if (global <= this.position) {
			return List.of();
		}
		this.early.putIfAbsent(global, piece);
		if (this.early.size() > MAX_EARLY) {
			throw new IllegalStateException("Position " + (this.position + 1) + " is missing from the stream");
		}
		List<String> ready = new ArrayList<>();
		String next = this.early.remove(this.position + 1);
		while (next != null) {
			this.position++;
			this.text.append(next);
			ready.add(next);
			next = this.early.remove(this.position + 1);
		}
		return ready;
	}

	/** Forgets early tokens, which a new connection sends again. */
	void startConnection() {
		this.early.clear();
	}

	/** Counts positions of the next stream from the present position. */
	void startContinuation() {
		this.early.clear();
		this.base = this.position;
	}

	/**
	 * Returns whether tokens are missing before one that has arrived.
	 * @return whether there is a gap
	 */
	boolean hasGap() {
		return !this.early.isEmpty();
	}

	/**
	 * Returns the last position in order within the present stream.
	 * @return the position, 0 if it has none
	 */
	long streamPosition() {
		return this.position - this.base;
	}

	long position() {
		return this.position;
	}

	String text() {
		return this.text.toString();
	}

}
