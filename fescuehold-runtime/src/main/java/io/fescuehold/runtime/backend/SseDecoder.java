package io.fescuehold.runtime.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Incremental decoder of server-sent events.
 */
final class SseDecoder {

	static final int MAX_EVENT_BYTES = 262_144;

	private static final String DONE_DATA = "[DONE]";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private long position;

	private boolean hasData;

	/**
	 * Decodes a chunk of any size.
	 * @param chunk the bytes, which are read but not released
	 * @return the parts that the chunk completes, possibly none
	 * @throws BackendFailure if an event is too large or a position is not a positive
	 * number
	 */
	List<StreamPart> decode(ByteBuf chunk) {
		List<StreamPart> parts = new ArrayList<>();
		while (chunk.isReadable()) {
			int lineLength = chunk.bytesBefore((byte) '\n');
			if (lineLength < 0) {
				appendToLine(chunk, chunk.readableBytes());
				return parts;
			}
			appendToLine(chunk, lineLength);
			chunk.skipBytes(1);
			String text = this.line.toString(StandardCharsets.UTF_8);
			this.line.reset();
			endLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text, parts);
		}
		return parts;
	}

	private void appendToLine(ByteBuf chunk, int length) {
		if (this.line.size() + this.data.length() + length > MAX_EVENT_BYTES) {
			throw protocolFailure("an event exceeds " + MAX_EVENT_BYTES + " bytes");
		}
		byte[] bytes = new byte[length];
		chunk.readBytes(bytes);
		this.line.writeBytes(bytes);
	}

	private void endLine(String text, List<StreamPart> parts) {
		if (text.isEmpty()) {
			endEvent(parts);
		}
		else if (text.startsWith(":")) {
			parts.add(new StreamPart.Comment());
		}
		else if (text.startsWith("data:")) {
			if (this.hasData) {
				this.data.append('\n');
			}
			this.hasData = true;
			this.data.append(fieldValue(text, "data:".length()));
		}
		else if (text.startsWith("id:")) {
			this.position = parsePosition(fieldValue(text, "id:".length()));
		}
	}

	private void endEvent(List<StreamPart> parts) {
		if (this.hasData) {
			String text = this.data.toString();
			parts.add(
					DONE_DATA.equals(text.strip()) ? new StreamPart.Done() : new StreamPart.Event(this.position, text));
		}
		this.data.setLength(0);
		this.hasData = false;
		this.position = 0;
	}

	private static String fieldValue(String text, int start) {
		return text.startsWith(" ", start) ? text.substring(start + 1) : text.substring(start);
	}

	private static long parsePosition(String text) {
		try {
			long position = Long.parseLong(text.strip());
			if (position > 0) {
				return position;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, as are positions less than 1.
		}
		throw protocolFailure("position \"" + text + "\" is not a positive number");
	}

	private static BackendFailure protocolFailure(String reason) {
		return new BackendFailure(BackendFailure.Kind.PROTOCOL, reason, null);
	}

}
