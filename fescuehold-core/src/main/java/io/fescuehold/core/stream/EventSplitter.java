package io.fescuehold.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a stream of server-sent events into whole events, so that a stream
 * that is interrupted within an event can be resumed after the last whole event.
 */
public final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final int maxEventBytes;

	private final ByteArrayOutputStream event = new ByteArrayOutputStream();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private long position;

	/**
	 * Creates a splitter.
	 * @param maxEventBytes the maximum size of an event in bytes
	 */
	public EventSplitter(int maxEventBytes) {
		this.maxEventBytes = maxEventBytes;
	}

	/**
	 * Appends bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that the bytes complete, possibly none
	 * @throws IllegalArgumentException if an event is too large or its id is not a number
	 */
	public List<StreamEvent> append(byte[] bytes) {
		List<StreamEvent> events = new ArrayList<>();
		for (byte next : bytes) {
			this.event.write(next);
			if (next == '\n') {
				endLine(events);
			}
			else {
				this.line.write(next);
			}
		}
		if (this.event.size() > this.maxEventBytes) {
			throw new IllegalArgumentException("an event exceeds " + this.maxEventBytes + " bytes");
		}
		return events;
	}

	/**
	 * Returns whether the bytes so far end within an event.
	 * @return whether an event is incomplete
	 */
	public boolean isInsideEvent() {
		return this.event.size() > 0;
	}

	/**
	 * Returns the bytes that are held for the event that is not complete, with the copy
	 * of its last line.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return (long) this.event.size() + this.line.size();
	}

	private void endLine(List<StreamEvent> events) {
		String text = this.line.toString(StandardCharsets.UTF_8).strip();
		this.line.reset();
		if (text.startsWith(ID_FIELD)) {
			this.position = parseEventId(text.substring(ID_FIELD.length()).strip());
		}
		if (text.isEmpty()) {
			events.add(new StreamEvent(this.event.toByteArray(), this.position));
			this.event.reset();
			this.position = 0;
		}
	}

	private static long parseEventId(String text) {
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("the event id \"" + text + "\" is not a number", ex);
		}
	}

}
