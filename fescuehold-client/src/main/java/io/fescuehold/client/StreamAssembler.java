package io.fescuehold.client;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Puts the tokens of an answer in order across connections and continuations: duplicate
 * positions are dropped, and tokens that arrive early are buffered until those before
 * them have arrived.
 */
final class StreamAssembler {

	private static final int MAX_BUFFERED_TOKENS = 256;

	private final TreeMap<Long, String> buffered = new TreeMap<>();

	private final StringBuilder text = new StringBuilder();

	private long position;

	private long streamStart;

	/**
	 * Accepts a token.
	 * @param streamPosition its position in the current stream, from 1
	 * @param tokenText the text of the token
	 * @return the texts of the tokens that are now in order, often just this one
	 */
	List<String> accept(long streamPosition, String tokenText) {
		long answerPosition = this.streamStart + streamPosition;
		if (answerPosition <= this.position) {
			return List.of();
		}
		this.buffered.putIfAbsent(answerPosition, tokenText);
		if (this.buffered.size() > MAX_BUFFERED_TOKENS) {
			throw new IllegalStateException("Position " + (this.position + 1) + " is missing from the stream");
		}
		List<String> ready = new ArrayList<>();
		String next = this.buffered.remove(this.position + 1);
		while (next != null) {
			this.position++;
			this.text.append(next);
			ready.add(next);
			next = this.buffered.remove(this.position + 1);
		}
		return ready;
	}

	/** Discards the buffered tokens, which a new connection sends again. */
	void startConnection() {
		this.buffered.clear();
	}

	/**
	 * Starts a new stream whose positions are counted from the current position of the
	 * answer.
	 */
	void startContinuation() {
		this.buffered.clear();
		this.streamStart = this.position;
	}

	/**
	 * Returns whether a token has arrived while one before it is missing.
	 * @return whether there is a gap
	 */
	boolean hasGap() {
		return !this.buffered.isEmpty();
	}

	/**
	 * Returns the last position in order within the current stream.
	 * @return the position, 0 if it has none
	 */
	long streamPosition() {
		return this.position - this.streamStart;
	}

	long position() {
		return this.position;
	}

	String text() {
		return this.text.toString();
	}

}
