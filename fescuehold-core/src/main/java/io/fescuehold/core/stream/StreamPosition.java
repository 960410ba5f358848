package io.fescuehold.core.stream;

/**
 * Checks that the positions of a stream are consecutive across connections and servers.
 */
public final class StreamPosition {

	private long last;

	/**
	 * Creates a check that expects the event after a position.
	 * @param last the last position already delivered, 0 for a new stream
	 */
	public StreamPosition(long last) {
		if (last < 0) {
			throw new IllegalArgumentException("Position " + last + " is negative; positions begin at 1");
		}
		this.last = last;
	}

	/**
	 * Classifies the position of a received event and advances if it is the next one.
	 * @param position the position of the event, counted from the start of the stream
	 * @return whether the event is the next one, a repeat or shows that events were lost
	 */
	public Verdict accept(long position) {
		if (position <= this.last) {
			return Verdict.REPEAT;
		}
		if (position > this.last + 1) {
			return Verdict.GAP;
		}
		this.last = position;
		return Verdict.NEXT;
	}

	/**
	 * Returns the last delivered position.
	 * @return the position, or 0 before the first event
	 */
	public long last() {
		return this.last;
	}

	/**
	 * What to do with an event.
	 */
	public enum Verdict {

		/** The event is the next one and is delivered. */
		NEXT,

		/** The event was delivered before and is dropped. */
		REPEAT,

		/** Events before this one are missing; the stream resumes from the last one. */
		GAP

	}

}
