package io.fescuehold.client;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental parser of server-sent events. Chunks of bytes may end anywhere, even inside
 * a character. Comments are ignored, except for one that names the stream that replaced
 * the current one.
 */
final class SseParser {

	private static final String MOVED_COMMENT = ": fescuehold-stream ";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private boolean hasData;

	private String id;

	private String type;

	private String movedTo;

	/**
	 * Reads the next bytes.
	 * @param bytes the bytes
	 * @return the events that they complete
	 */
	List<SseEvent> read(byte[] bytes) {
		List<SseEvent> events = new ArrayList<>();
		for (byte next : bytes) {
			if (next == '\n') {
				endLine(events);
			}
			else {
				this.line.write(next);
			}
		}
		return events;
	}

	private void endLine(List<SseEvent> events) {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.endsWith("\r")) {
			text = text.substring(0, text.length() - 1);
		}
		if (text.isEmpty()) {
			endEvent(events);
		}
		else if (text.startsWith(MOVED_COMMENT)) {
			this.movedTo = text.substring(MOVED_COMMENT.length()).strip();
		}
		else if (!text.startsWith(":")) {
			field(text);
		}
	}

	/**
	 * Returns the stream that replaced the one in the response header.
	 * @return the stream as named by the last comment, or null
	 */
	String movedTo() {
		return this.movedTo;
	}

	private void field(String text) {
		int colon = text.indexOf(':');
		String name = (colon < 0) ? text : text.substring(0, colon);
		String value = (colon < 0) ? "" : text.substring(colon + 1);
		value = value.startsWith(" ") ? value.substring(1) : value;
		switch (name) {
			case "id" -> this.id = value;
			case "event" -> this.type = value;
			case "data" -> {
				this.data.append((this.hasData) ? "\n" : "").append(value);
				this.hasData = true;
			}
			default -> {
				// Unknown fields are ignored, as the event stream format requires.
			}
		}
	}

	private void endEvent(List<SseEvent> events) {
		if (this.hasData) {
			events.add(new SseEvent(this.id, this.type, this.data.toString()));
		}
		this.data.setLength(0);
		this.hasData = false;
		this.id = null;
		this.type = null;
	}

}
